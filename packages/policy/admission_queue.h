#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "policy/admission_activity.h"
#include "policy/admission_fair_queue.h"
#include "policy/admission_shares.h"
#include "policy/overload_defaults.h"

namespace figspoke::policy {

/// A request that occupies a slot.
struct running_request {
    admission_request request;
    core::steady_time started;
    int pauses = 0;
    /// Whether the request waited, so that its account was charged its work.
    bool charged = false;
};

/// Where a waiting request is queued.
struct waiting_place {
    core::priority priority = core::priority::normal;
    std::string account;
};

/// Admission state of one node. Build it with `make_admission_queue` and change it only through the functions
/// below. It isn't synchronised; time must not run backwards.
struct admission_queue {
    admission_settings settings;
    /// Slots that this node may fill.
    double capacity = 0;
    std::array<fair_queue, core::priority_count> waiting;
    admission_shares shares;
    std::unordered_map<std::uint64_t, waiting_place> waiting_places;
    std::unordered_map<std::uint64_t, running_request> running;
    /// Running requests of each priority that may be paused.
    std::array<std::size_t, core::priority_count> pausable_running{};
    std::array<account_activities, core::priority_count> activities;
    event_rate urgent_arrivals;
    event_rate completions;
    /// The time up to which the rates and shares above are brought.
    core::steady_time updated{};
    core::steady_time swept{};
    /// Measured slot time divided by expected work.
    double slowdown = 1;
};

enum class admission_state { admitted, queued, refused };

/// What the caller of the queue has to do with a request. `refuse` may follow on `pause`, where a paused
/// request can't be completed in time.
enum class admission_action { start, refuse, pause };

/// A waiting request that is to be started (or resumed) or refused, or a running one that is to be paused:
/// its slot is already given to another, and it waits again.
struct admission_event {
    std::uint64_t id = 0;
    /// Why the request was refused.
    std::optional<core::error> error;
    admission_action action = admission_action::start;
};

/// The answer to `submit`.
struct admission_decision {
    admission_state state = admission_state::refused;
    /// `overloaded` or `deadline_unreachable` where the request was refused.
    std::optional<core::error> error;
    /// The waiting request that was refused to make room, if any.
    std::optional<admission_event> displaced;
};

/// Builds an empty queue for a node with `capacity` slots.
admission_queue make_admission_queue(const admission_settings& settings, double capacity,
                                     core::steady_time now);

/// Changes the number of slots; requests that run already are kept. Call `next` afterwards.
void set_capacity(admission_queue& queue, double capacity, core::steady_time now);

/// Admits a request at once, queues it or refuses it. The id must not be waiting or running. An admitted
/// request occupies a slot until `finish`.
admission_decision submit(admission_queue& queue, const admission_request& request, core::steady_time now);

/// Returns the waiting requests that start now and those that can no longer be served in time. Call it after
/// `finish`, `cancel` and `set_capacity`, where `submit` returned `queued`, and at least every 50 ms while
/// requests wait. Only requests marked `pausable` are ever paused.
std::vector<admission_event> next(admission_queue& queue, core::steady_time now);

/// Removes a waiting request; false where the id isn't waiting (a running one ends by `finish`).
bool cancel(admission_queue& queue, std::uint64_t id, core::steady_time now);

/// Frees the slot of a running request; false where the id isn't running.
bool finish(admission_queue& queue, std::uint64_t id, core::steady_time now);

/// Returns the number of requests that wait.
std::size_t waiting_count(const admission_queue& queue);

} // namespace figspoke::policy
