#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include "core/config.h"

namespace figspoke::policy {

/// How waiting requests are ordered. `fifo` is the baseline for measurements: one bounded queue in order of
/// arrival, without floors, shares or early refusal.
enum class queue_discipline { fair, fifo };

/// What a deployment optimises for: low latency and small callers, or little exposure to bad versions and
/// reliable completion of long drafts.
enum class deployment_profile { low_latency, dependable_drafts };

/// Settings of one node's admission queue. Arrays are indexed by `core::priority`.
struct admission_settings {
    queue_discipline discipline = queue_discipline::fair;
    /// Minimum share of the capacity for each priority while it has work waiting; the sum is at most 1.
    std::array<double, core::priority_count> floors{0.70, 0.20, 0.10};
    /// Maximum number of waiting requests of each priority.
    std::array<std::size_t, core::priority_count> queue_limits{200, 200, 200};
    /// Maximum wait for a slot; requests that are expected to wait longer are refused early.
    std::array<std::chrono::milliseconds, core::priority_count> max_wait{
        std::chrono::milliseconds(2000), std::chrono::milliseconds(10000), std::chrono::milliseconds(60000)};
    /// Maximum share of a priority's queue that one account may occupy, 0 to 1.
    double account_queue_share = 0.5;
    /// Maximum share of the capacity that lower priorities keep free for urgent work, and accounts above
    /// their fair share for the others. The actual share follows from the measured rates of arrivals and
    /// completions.
    double headroom = 0.25;
    /// Wait for a slot that urgent requests and accounts within their fair share rarely exceed.
    std::chrono::milliseconds tolerated_wait{40};
    /// Time in which a priority makes up service that it missed below its floor.
    std::chrono::milliseconds floor_horizon{1000};
    /// Work that an account of weight 1 may start per round, in slot-seconds.
    double quantum = 0.5;
    /// Factor on the expected wait before it is compared with a deadline; values over 1 refuse earlier.
    double wait_margin = 1.0;
    /// Factor on the expected run time that must remain before the deadline when a request starts.
    double run_margin = 2.0;
    /// Maximum number of times that a request may be paused for more urgent work or for accounts within their
    /// fair share.
    int max_pauses = 3;
    /// Slot time that resuming a paused request costs, in seconds.
    double resume_work = 0.3;
};

/// Returns the default settings of a deployment profile.
admission_settings default_admission_settings(deployment_profile profile);

/// Returns the defaults of a profile with the floors and queue limits of the configuration table. Floors that
/// sum to more than 1 are scaled down to 1.
admission_settings admission_settings_from(const core::config_snapshot& config, deployment_profile profile);

} // namespace figspoke::policy
