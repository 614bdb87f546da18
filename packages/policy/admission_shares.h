#pragma once

#include <array>
#include <cstddef>

#include "core/config.h"
#include "core/time.h"
#include "policy/overload_defaults.h"

namespace figspoke::policy {

/// Use of the capacity by one priority.
struct priority_share {
    /// Number of requests that occupy a slot.
    std::size_t running = 0;
    /// Slot-seconds by which the priority has received less than its floor; negative if it received more.
    double owed_service = 0;
    /// Decaying mean of `running` over the last few seconds.
    double mean_running = 0;
};

/// Use of the capacity of a node by all priorities.
struct admission_shares {
    std::array<priority_share, core::priority_count> priorities;
    core::steady_time updated_at{};
};

/// Updates the means and the owed service to `now`. `waiting` holds the number of waiting requests of each
/// priority.
void advance(admission_shares& shares, const admission_settings& settings, double capacity,
             const std::array<std::size_t, core::priority_count>& waiting, core::steady_time now);

/// Returns whether a priority's floor and owed service entitle it to one more running request.
bool is_below_floor(const admission_shares& shares, const admission_settings& settings, double capacity,
                    core::priority priority);

/// Returns the number of slots that a priority can expect over the next few seconds.
double expected_slots(const admission_shares& shares, const admission_settings& settings, double capacity,
                      core::priority priority);

} // namespace figspoke::policy
