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
    core::steady_time started_at;
    /// Number of times that the request was paused.
    int pauses = 0;
    /// Whether its account was charged for its expected work, which is so if the request waited.
    bool charged = false;
};

/// Identifies the queue that holds a waiting request.
struct queue_location {
    core::priority priority = core::priority::normal;
    std::string account;
};

/// Admission state of one node. Create it with `make_admission_queue` and change it only through the
/// functions below. It isn't thread-safe, and `now` must not decrease from call to call.
struct admission_queue {
    admission_settings settings;
    /// Number of slots that this node may use.
    double capacity = 0;
    std::array<fair_queue, core::priority_count> waiting;
    admission_shares shares;
    std::unordered_map<std::uint64_t, queue_location> waiting_locations;
    std::unordered_map<std::uint64_t, running_request> running;
    /// Number of running requests of each priority that may be paused.
    std::array<std::size_t, core::priority_count> pausable_running{};
    std::array<account_activities, core::priority_count> activities;
    event_rate urgent_arrival_rate;
    event_rate completion_rate;
    /// Time at which the rates and shares above are evaluated: the latest `now` of a call.
    core::steady_time updated_at{};
    core::steady_time expiry_checked_at{};
    /// Mean ratio of measured slot time to expected work.
    double slowdown = 1;
};

enum class admission_state { admitted, queued, refused };

/// What the caller of the queue must do with a request. `refuse` may follow `pause` if the paused request can
/// no longer complete in time.
enum class admission_action { start, refuse, pause };

/// A waiting request that the caller must start (or resume) or refuse, or a running one that it must pause.
/// The slot of a paused request already belongs to another, and the paused request is queued again.
struct admission_event {
    std::uint64_t id = 0;
    /// Why the request was refused; empty for other actions.
    std::optional<core::error> error;
    admission_action action = admission_action::start;
};

/// Result of `submit`.
struct admission_decision {
    admission_state state = admission_state::refused;
    /// `overloaded` or `deadline_unreachable` if the request was refused.
    std::optional<core::error> error;
    /// The waiting request that was refused to make room for this one, if any.
    std::optional<admission_event> displaced;
};

/// Creates an empty queue for a node with `capacity` slots.
admission_queue make_admission_queue(const admission_settings& settings, double capacity,
                                     core::steady_time now);

/// Changes the number of slots; running requests keep theirs. Call `dispatch` afterwards.
void set_capacity(admission_queue& queue, double capacity, core::steady_time now);

/// Admits a request at once, queues it or refuses it. The id must not be waiting or running. An admitted
/// request occupies a slot until `finish`.
admission_decision submit(admission_queue& queue, const admission_request& request, core::steady_time now);

/// Starts waiting requests, refuses those that can no longer complete in time and pauses running ones;
/// returns what the caller must do. Call it after `finish`, `cancel` and `set_capacity`, after `submit`
/// returned `queued`, and at least every 50 ms while requests wait. Only requests marked `pausable` are
/// paused.
std::vector<admission_event> dispatch(admission_queue& queue, core::steady_time now);

/// Removes a waiting request. Returns false if the id isn't waiting; use `finish` for a running request.
bool cancel(admission_queue& queue, std::uint64_t id, core::steady_time now);

/// Frees the slot of a running request. Returns false if the id isn't running.
bool finish(admission_queue& queue, std::uint64_t id, core::steady_time now);

/// Returns the number of waiting requests.
std::size_t waiting_count(const admission_queue& queue);

} // namespace figspoke::policy
