#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// What a member says of itself. `left` is the last state of an incarnation.
enum class member_state : std::uint8_t { joining, serving, leaving, left };

/// Returns the state of a number from another node; empty where none has it.
std::optional<member_state> member_state_of(std::uint64_t number);

/// What a member says of itself, as relayed by the mesh. Only the member itself writes its entry, and it
/// raises `heartbeat` with each change.
struct member_entry {
    std::string id;
    /// `IP:port` for callers.
    std::string http_address;
    /// `IP:port` for mesh links.
    std::string mesh_address;
    std::string failure_domain;
    /// Higher after each restart.
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    /// Highest configuration table revision in effect at the member.
    std::uint64_t table_revision = 0;
    /// Version of the roster that the member holds.
    std::uint64_t roster_version = 0;
    member_state state = member_state::joining;
    /// Load in percent of capacity, 0 to 255.
    std::uint8_t load = 0;
    /// Further facts by name; changes rarely, since it is sent whole.
    std::map<std::string, std::string> payload;
};

/// Compares all fields.
bool operator==(const member_entry& a, const member_entry& b);

/// Tells whether `a` replaces `b`: a total order by incarnation, heartbeat, then the other fields.
bool supersedes(const member_entry& a, const member_entry& b);

/// A member as one node knows it.
struct member_record {
    member_entry entry;
    /// When its heartbeat last advanced, on this node's steady clock.
    core::steady_time last_advanced;
    /// Raised when a field that short digest entries leave out changes.
    std::uint64_t content_stamp = 0;
};

/// The part of a member's entry that changes often.
struct member_pulse {
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    member_state state = member_state::joining;
    /// Time since the heartbeat was last seen to advance.
    core::milliseconds silence{0};
};

/// The last that was known of a forgotten member. Older news of it are ignored.
struct tombstone {
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    core::steady_time since;
};

/// All members that one node knows, itself included.
struct membership {
    std::string self;
    std::map<std::string, member_record> members;
    std::map<std::string, tombstone> tombstones;
    std::uint64_t last_stamp = 0;
};

enum class member_health { alive, suspect, failed };

/// Times since the last heartbeat after which a member is suspected, failed and forgotten.
struct health_timeouts {
    core::milliseconds suspect{1000};
    core::milliseconds failed{5000};
    /// Long, so that after a partition of an hour the other side's addresses are still known.
    core::milliseconds forget{2 * 3600 * 1000};
};

/// The number of tombstones kept; the oldest are dropped first.
inline constexpr std::size_t max_tombstones = 1024;

/// Builds a membership of the node itself.
membership make_membership(member_entry self, core::steady_time now);

/// Merges one entry that was last seen to advance `silence` ago. Returns whether it was news. News of this
/// node's own id from an earlier incarnation raise its own incarnation.
bool merge_entry(membership& known, const member_entry& entry, core::milliseconds silence,
                 core::steady_time now);

/// Merges news of a member's heartbeat and state that leave out what rarely changes. Ignored where the member
/// is unknown or of another incarnation. Returns whether it was news.
bool merge_heartbeat(membership& known, const std::string& id, const member_pulse& pulse,
                     core::steady_time now);

/// Raises the node's own heartbeat.
void beat(membership& known, core::steady_time now);

/// The node's own entry.
const member_entry& self_entry(const membership& known);

/// What a node may change in its own entry.
struct self_update {
    member_state state = member_state::joining;
    std::uint64_t table_revision = 0;
    std::uint64_t roster_version = 0;
    std::uint8_t load = 0;
    std::map<std::string, std::string> payload;
};

/// Applies the update to the node's own entry and raises its heartbeat where something changed. Revisions
/// and state never go back, and load moves in steps of at least 5 so that it isn't sent with each beat.
void update_self(membership& known, const self_update& update, core::steady_time now);

/// Judges a member by the time since its heartbeat advanced. This node itself is always alive.
member_health health_of(const membership& known, const member_record& member, const health_timeouts& timeouts,
                        core::steady_time now);

/// Members that are alive and in the state `serving`, by id.
std::vector<const member_entry*> serving_members(const membership& known, const health_timeouts& timeouts,
                                                 core::steady_time now);

/// Forgets members that are silent for longer than `forget`, leaves tombstones and drops old ones.
void prune(membership& known, const health_timeouts& timeouts, core::steady_time now);

} // namespace figspoke::state
