#pragma once

#include <array>
#include <cstddef>

#include "core/config.h"
#include "core/time.h"
#include "policy/overload_defaults.h"

namespace figspoke::policy {

/// What one priority uses of the capacity.
struct priority_share {
    /// Requests that occupy a slot.
    std::size_t running = 0;
    /// Slot-seconds by which the priority has received less than its floor; negative for more.
    double owed = 0;
    /// Mean of `running` over the last seconds.
    double mean_running = 0;
};

/// Shares of all priorities in the capacity of a node.
struct admission_shares {
    std::array<priority_share, core::priority_count> priorities;
    core::steady_time updated{};
};

/// Brings owed service up to `now`. `waiting` holds the number of waiting requests of each priority.
void advance(admission_shares& shares, const admission_settings& settings, double capacity,
             const std::array<std::size_t, core::priority_count>& waiting, core::steady_time now);

/// Tells whether a priority has fewer requests running than its floor and its owed service entitle it to.
bool is_below_floor(const admission_shares& shares, const admission_settings& settings, double capacity,
                    core::priority priority);

/// Returns the number of slots that a priority can count on in the next seconds.
double expected_slots(const admission_shares& shares, const admission_settings& settings, double capacity,
                      core::priority priority);

} // namespace figspoke::policy
