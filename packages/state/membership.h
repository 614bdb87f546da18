#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// State that a member reports of itself. `left` is the final state of an incarnation.
enum class member_state : std::uint8_t { joining, serving, leaving, left };

/// Converts a number from another node's message to a state; empty if no state has this number.
std::optional<member_state> member_state_of(std::uint64_t number);

/// What a member reports of itself, as relayed by the mesh. Only the member writes its entry, and it
/// increments `heartbeat` with each change.
struct member_entry {
    std::string id;
    /// `IP:port` for callers.
    std::string http_address;
    /// `IP:port` for mesh links.
    std::string mesh_address;
    std::string failure_domain;
    /// Increases with each restart.
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    /// Highest configuration table revision in effect at the member.
    std::uint64_t table_revision = 0;
    /// Version of the roster that the member holds.
    std::uint64_t roster_version = 0;
    member_state state = member_state::joining;
    /// Load in percent of capacity, 0 to 255.
    std::uint8_t load = 0;
    /// Further properties by name. They should change rarely, since each change resends the whole entry.
    std::map<std::string, std::string> payload;
};

/// Compares all fields.
bool operator==(const member_entry& a, const member_entry& b);

/// Returns whether `a` replaces `b`. Entries are totally ordered by incarnation, heartbeat, then the other
/// fields.
bool supersedes(const member_entry& a, const member_entry& b);

/// One node's record of a member.
struct member_record {
    member_entry entry;
    /// When the member's heartbeat last advanced, on this node's steady clock.
    core::steady_time last_advanced;
    /// Increases when a field changes that a `member_delta` doesn't carry.
    std::uint64_t content_stamp = 0;
};

/// The fields of a member's entry that change often.
struct heartbeat_update {
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    member_state state = member_state::joining;
    /// Time since the sender saw the heartbeat advance.
    core::milliseconds heartbeat_age{0};
};

/// Last known version of a forgotten member. Entries that are no newer are ignored.
struct tombstone {
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    core::steady_time forgotten_at;
};

/// All members that one node knows, itself included.
struct membership {
    std::string self;
    std::map<std::string, member_record> members;
    std::map<std::string, tombstone> tombstones;
    std::uint64_t last_stamp = 0;
};

enum class member_health { alive, suspect, failed };

/// Times without a new heartbeat after which a member is suspected, considered failed, and forgotten.
struct health_timeouts {
    core::milliseconds suspect{1000};
    core::milliseconds failed{5000};
    /// Long enough that after a partition of an hour the other side's addresses are still known.
    core::milliseconds forget{2 * 3600 * 1000};
};

/// Maximum number of tombstones; the oldest are dropped first.
inline constexpr std::size_t max_tombstones = 1024;

/// Creates a membership that contains only this node.
membership make_membership(member_entry self, core::steady_time now);

/// Merges an entry whose heartbeat advanced `heartbeat_age` ago. Returns whether the membership changed. If
/// an entry with this node's own id, from an earlier process, supersedes the node's entry, the node raises
/// its incarnation above it.
bool merge_entry(membership& known, const member_entry& entry, core::milliseconds heartbeat_age,
                 core::steady_time now);

/// Merges a member's heartbeat and state into its record without its other fields. Ignored if the record has
/// another incarnation. Returns whether the record changed. A node's own record is never merged.
bool merge_heartbeat(member_record& record, const heartbeat_update& update, core::steady_time now);

/// Increments the node's own heartbeat.
void advance_heartbeat(membership& known, core::steady_time now);

/// Returns the node's own entry.
const member_entry& self_entry(const membership& known);

/// The fields that a node may change in its own entry.
struct self_update {
    member_state state = member_state::joining;
    std::uint64_t table_revision = 0;
    std::uint64_t roster_version = 0;
    std::uint8_t load = 0;
    std::map<std::string, std::string> payload;
};

/// Applies the update to the node's own entry and increments its heartbeat if a field changed. Revisions and
/// state never go back. Load changes of less than 5 are ignored, so that load isn't sent with each heartbeat.
void update_self(membership& known, const self_update& update, core::steady_time now);

/// Returns a member's health by the time since its heartbeat advanced. This node itself is always alive.
member_health health_of(const membership& known, const member_record& member, const health_timeouts& timeouts,
                        core::steady_time now);

/// Returns the members that are alive and in the state `serving`, ordered by id.
std::vector<const member_entry*> serving_members(const membership& known, const health_timeouts& timeouts,
                                                 core::steady_time now);

/// Returns whether `prune` forgets a member.
bool is_forgotten(const membership& known, const member_record& member, const health_timeouts& timeouts,
                  core::steady_time now);

/// Forgets members without a new heartbeat for longer than `forget`, leaves tombstones for them and drops old
/// tombstones.
void prune(membership& known, const health_timeouts& timeouts, core::steady_time now);

} // namespace figspoke::state
