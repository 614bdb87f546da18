#pragma once

#include <cstddef>

#include "core/time.h"

namespace figspoke::policy {

/// Mean number of events a second over the last ten seconds or so.
struct event_rate {
    double per_s = 0;
    core::steady_time updated{};
};

/// Counts one event.
void note_event(event_rate& rate, core::steady_time now);

/// Returns the rate at a time.
double rate_at(const event_rate& rate, core::steady_time now);

/// Returns how many slots must be kept free so that at most 3 in 100 arrivals wait longer than `tolerated`,
/// where slots become free at a rate of `completions_per_s`; at most `most`.
std::size_t slots_for_arrivals(double arrivals_per_s, double completions_per_s,
                               std::chrono::milliseconds tolerated, std::size_t most);

} // namespace figspoke::policy
