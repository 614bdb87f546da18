#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/time.h"

namespace figspoke::policy {

/// The version that ran the latest request of a conversation.
struct session_pin {
    bool on_target = false;
    /// Latest time at which a request of the conversation was running.
    core::steady_time last_seen{};
};

/// A conversation of which a request is running.
struct running_session {
    std::uint64_t session = 0;
    bool on_target = false;
};

/// Recent conversations, by hash of service and conversation. Only those that a trial would move to the new
/// version are stored, so that the table fits into the messages between nodes.
struct session_pins {
    std::map<std::uint64_t, session_pin> pins;
    /// By number of the request.
    std::map<std::uint64_t, running_session> running;
};

inline constexpr std::size_t max_session_pins = 4000;

/// Records that a request of the conversation ran, unless a later one is recorded already.
void record_session(session_pins& pins, std::uint64_t session, bool on_target, core::steady_time at);

/// Records that the request `request` has begun to run as a part of the conversation.
void begin_session_request(session_pins& pins, std::uint64_t request, const running_session& session,
                           core::steady_time at);

/// Records that the request no longer runs. Nothing happens if it never began.
void end_session_request(session_pins& pins, std::uint64_t request, core::steady_time at);

/// Records that all requests that have begun are still running.
void refresh_running_sessions(session_pins& pins, core::steady_time now);

/// Removes conversations without a request for longer than `session_gap`.
void expire_sessions(session_pins& pins, core::milliseconds session_gap, core::steady_time now);

/// Returns the bucket of a conversation, a fixed number in [0, 1). The conversation takes part in a roll-out
/// while its bucket is below the share.
double session_bucket(std::uint64_t session);

/// Input to the choice between the two versions of a roll-out for one request.
struct rollout_selection {
    /// The bucket of the conversation.
    double bucket = 0;
    /// Share of requests for the target version.
    double share = 0;
    /// Whether the trial is running: a conversation that began on the old version stays there.
    bool trial = true;
    /// Pause after which a conversation is over.
    core::milliseconds session_gap{5000};
};

/// Returns whether a request of the conversation goes to the target version.
bool uses_target_version(const session_pins& pins, std::uint64_t session, const rollout_selection& selection,
                         core::steady_time now);

} // namespace figspoke::policy
