#pragma once

#include <deque>
#include <optional>
#include <utility>

#include "core/time.h"

namespace figspoke::policy {

/// Load that an upstream reported about itself; it lags behind the actual load.
struct load_report {
    int running = 0;
    int waiting = 0;
    /// Local time at which the numbers were true: the time of receipt minus the reported age.
    core::steady_time at;
};

/// Load figures that an upstream states in an answer.
struct load_statement {
    int running = 0;
    int waiting = 0;
    int slots = 1;
    /// How long work takes at this moment relative to the usual time; empty if the upstream doesn't say.
    std::optional<double> work_factor;
};

/// This node's requests in flight on one upstream, with enough history to tell how many a report includes.
struct local_requests {
    int in_flight = 0;
    /// Times at which `in_flight` changed, with its new values, oldest first.
    std::deque<std::pair<core::steady_time, int>> changes;
};

/// Adds `delta` (1 at dispatch, -1 at the end) to this node's requests in flight.
void record_local_requests(local_requests& local, int delta, core::steady_time now);

/// Estimates the number of requests at an upstream: the reported load, corrected by this node's requests that
/// started or ended since the report. It is at least the number of this node's requests in flight.
int estimate_load(const load_report& report, const local_requests& local);

} // namespace figspoke::policy
