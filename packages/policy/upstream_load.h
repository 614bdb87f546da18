#pragma once

#include <deque>
#include <utility>

#include "core/time.h"

namespace figspoke::policy {

/// An upstream's own report of its load, which lags.
struct load_report {
    int running = 0;
    int waiting = 0;
    /// Local time at which the numbers were true: that of receipt less the reported age.
    core::steady_time at;
};

/// This node's work on one upstream, with enough history to tell how much of it a report covers.
struct own_work {
    int in_flight = 0;
    /// Times at which `in_flight` changed and the value from then on, oldest first.
    std::deque<std::pair<core::steady_time, int>> changes;
};

/// Adds `delta` (1 at dispatch, -1 at the end) to the node's own work.
void record_own_work(own_work& work, int delta, core::steady_time now);

/// Estimates the requests on an upstream: the report, corrected by the node's own work that started or
/// ended since then. At least the node's own work.
int estimate_load(const load_report& report, const own_work& work);

} // namespace figspoke::policy
