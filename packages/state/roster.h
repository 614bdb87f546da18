#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// The members that count towards a majority, as recorded in the key-value service (`figspoke/members`).
/// A voter is one incarnation of a node: a restarted node is a new one.
struct roster {
    /// 0 means that none was recorded yet.
    std::uint64_t version = 0;
    /// Incarnation of each voter by node id.
    std::map<std::string, std::uint64_t> voters;
    /// Voters to be. While there are any, a majority of `voters` and one of both together are needed.
    std::map<std::string, std::uint64_t> joining;
};

/// Ids that the VM list showed earlier and shows no more.
using gone_ids = std::set<std::string>;

/// Time since the last heartbeat after which a member doesn't count as reached.
inline constexpr core::milliseconds reach_window{3000};

/// What a majority is judged by.
struct majority_view {
    const membership& known;
    const roster& recorded;
    const gone_ids& gone;
    health_timeouts timeouts;
    /// Heartbeats that arrived earlier don't count, see `reliable_since`.
    core::steady_time since = core::steady_time::min();
};

/// Tells whether a voter is certain not to serve any more: it said so, it was restarted, or its VM is gone.
bool has_departed(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                  core::steady_time now);

/// Tells whether this node reaches more than half of the voters that have not departed, or exactly half
/// with the lowest id among them.
bool has_majority(const majority_view& view, core::steady_time now);

/// Returns the roster to record next by CAS, or nothing where no change is due or allowed yet.
std::optional<roster> next_roster(const majority_view& view, core::steady_time now);

/// Encodes a roster as JSON, the form in which the key-value service holds it.
std::string encode_roster(const roster& value);

/// Decodes a roster; empty where the text is malformed.
std::optional<roster> decode_roster(const std::string& text);

} // namespace figspoke::state
