#pragma once

#include <cstddef>

#include "core/time.h"

namespace figspoke::policy {

/// Rate of events, as an exponentially decaying mean over about the last ten seconds.
struct event_rate {
    double events_per_s = 0;
    core::steady_time updated_at{};
};

/// Counts one event.
void record_event(event_rate& rate, core::steady_time now);

/// Returns the rate at `now`, in events per second.
double rate_at(const event_rate& rate, core::steady_time now);

/// Returns the number of slots to keep free so that at most 3 in 100 arrivals wait longer than
/// `tolerated_wait`, if slots become free at a rate of `completions_per_s`. The result is at most
/// `max_slots`.
std::size_t slots_to_reserve(double arrivals_per_s, double completions_per_s,
                             std::chrono::milliseconds tolerated_wait, std::size_t max_slots);

} // namespace figspoke::policy
