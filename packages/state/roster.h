#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// The voters, which are the members that count towards a majority, as recorded in the key-value service
/// (`figspoke/members`). A voter is one incarnation of a node: a restarted node is a new voter.
struct roster {
    /// 0 if no roster has been recorded yet.
    std::uint64_t version = 0;
    /// Incarnation of each voter by node id.
    std::map<std::string, std::uint64_t> voters;
    /// Members that are becoming voters, in the same form. While there are any, a majority needs both a
    /// majority of `voters` and a majority of `voters` and `joining` together.
    std::map<std::string, std::uint64_t> joining;
};

/// Ids of VMs that the VM list contained earlier and no longer contains.
using removed_vm_ids = std::set<std::string>;

/// Time without a new heartbeat after which a member no longer counts as reachable.
inline constexpr core::milliseconds reachability_timeout{3000};

/// The observations that determine whether a node has a majority.
struct majority_view {
    const membership& known;
    const roster& recorded_roster;
    const removed_vm_ids& removed_vms;
    health_timeouts timeouts;
    /// Heartbeats that arrived earlier don't count, since this node may have been paused after them.
    core::steady_time valid_since = core::steady_time::min();
};

/// Returns whether a voter certainly no longer serves: it reported `left`, a later incarnation exists, or its
/// VM is gone from the VM list and it has failed or is unknown.
bool has_departed(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                  core::steady_time now);

/// Returns whether this node reaches more than half of the voters that have not departed, or exactly half
/// including the one with the lowest id.
bool has_majority(const majority_view& view, core::steady_time now);

/// Returns the roster to record next by CAS; empty if no change is due or none is allowed yet, as while a
/// member that is reached holds a later roster than the recorded one.
std::optional<roster> next_roster(const majority_view& view, core::steady_time now);

/// Encodes a roster as JSON, as stored in the key-value service.
std::string encode_roster(const roster& value);

/// Decodes a roster; empty if the text is malformed.
std::optional<roster> decode_roster(const std::string& text);

} // namespace figspoke::state
