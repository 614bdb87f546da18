#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// A conversation on one version of a service, as a hash. The version is a part of it: a version that is the
/// target of one roll-out is the old one of the next.
using session_key = std::uint64_t;

/// Recent conversations. Only those that a trial would move to the new version are stored, so that the table
/// fits into the messages between nodes.
struct session_pins {
    /// Latest time at which a request was running.
    std::map<session_key, core::steady_time> last_seen;
    /// Conversations of running requests, by number of the request.
    std::map<std::uint64_t, session_key> running;
};

inline constexpr std::size_t max_session_pins = 4000;

/// Returns the key of a conversation on a version.
session_key make_session_key(const std::string& service, const std::string& session,
                             const std::string& version);

/// Records that a request of the conversation ran, unless a later one is recorded already.
void record_session(session_pins& pins, session_key session, core::steady_time at);

/// Records that the request `request` has begun to run as a part of the conversation.
void begin_session_request(session_pins& pins, std::uint64_t request, session_key session,
                           core::steady_time at);

/// Records that the request no longer runs. Nothing happens if it never began.
void end_session_request(session_pins& pins, std::uint64_t request, core::steady_time at);

/// Records that all requests that have begun are still running.
void refresh_running_sessions(session_pins& pins, core::steady_time now);

/// A conversation and the latest time at which it was seen.
struct recent_session {
    session_key session = 0;
    core::steady_time last_seen{};
};

/// Returns the conversations that were seen less than `max_age` ago, at most `limit`: those seen last.
std::vector<recent_session> recent_sessions(const session_pins& pins, core::nanoseconds max_age,
                                            std::size_t limit, core::steady_time now);

/// The version that ran the latest request of a conversation.
struct session_pin {
    bool on_target = false;
    core::steady_time last_seen{};
};

/// Returns the version among `versions` on which the conversation was seen last, if on any.
std::optional<session_pin> find_session(const session_pins& pins, const std::string& service,
                                        const std::string& session, const std::set<std::string>& versions,
                                        const std::string& target);

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

/// Returns whether a request of a conversation with this record goes to the target version.
bool uses_target_version(const std::optional<session_pin>& pin, const rollout_selection& selection,
                         core::steady_time now);

} // namespace figspoke::policy
