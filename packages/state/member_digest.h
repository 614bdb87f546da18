#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/time.h"
#include "state/membership.h"
#include "state/table_freshness.h"

namespace figspoke::state {

/// A member's full entry, with the index by which deltas on the same link refer to it.
struct full_member_entry {
    std::uint64_t index = 0;
    member_entry entry;
    /// Time since the sender saw the member's heartbeat advance.
    core::milliseconds heartbeat_age{0};
};

/// A gossip message on one link: the member entries that the peer may lack, and the versions of the sender's
/// table and roster.
struct member_digest {
    /// Sequence number on the link.
    std::uint64_t sequence = 0;
    /// Whether this digest carries all members in full, with new indexes.
    bool full = false;
    /// Whether the sender missed a digest and requests all members in full.
    bool resync_requested = false;
    std::uint64_t table_revision = 0;
    /// Age of the sender's table at the time of sending; empty if unknown.
    std::optional<core::milliseconds> table_age;
    /// Number of the sender's request for the receiver's table age.
    std::uint64_t request_number = 0;
    /// Number of the receiver's last request that had arrived when `table_age` was taken.
    std::uint64_t echoed_request_number = 0;
    std::uint64_t roster_version = 0;
    std::vector<full_member_entry> members;
    /// Deltas of members, encoded by `encode_deltas`.
    std::string encoded_deltas;
};

/// What the peer on a link is known to hold of one member: the fields last sent to it, and the newest version
/// that it sent itself.
struct peer_copy {
    std::uint64_t index = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t table_revision = 0;
    std::uint64_t roster_version = 0;
    std::uint64_t content_stamp = 0;
    std::uint8_t load = 0;
    member_state state = member_state::joining;
    bool sent_in_full = false;
    /// Whether the peer has sent this member itself; the newest version that it sent follows.
    bool received_from_peer = false;
    std::uint64_t peer_incarnation = 0;
    std::uint64_t peer_heartbeat = 0;
};

/// State of the digest exchange on one link, for the lifetime of one connection.
struct digest_link {
    std::uint64_t next_sequence = 0;
    bool send_full = true;
    std::uint64_t next_index = 0;
    std::unordered_map<std::string, peer_copy> peer_copies;
    /// Entries as received on this link, by the sender's index for them.
    std::vector<member_entry> received_entries;
    std::uint64_t expected_sequence = 0;
    bool needs_resync = false;
    /// Number of digests to send before the next request for all members.
    int digests_until_resync = 0;
    table_age_requests age_requests;
    std::uint64_t last_peer_request = 0;
};

/// Builds the next digest for a link: on a new link all members, later those whose heartbeat advanced.
member_digest build_digest(digest_link& link, const membership& known, const table_freshness& freshness,
                           const health_timeouts& timeouts, core::steady_time now);

/// What a received digest changed or announced.
struct digest_changes {
    /// Whether a member was new or changed its state, address or payload.
    bool members_changed = false;
    /// Whether the peer has a higher table revision or roster version than this node.
    bool peer_has_newer_table = false;
    bool peer_has_newer_roster = false;
};

/// Merges a digest from a link into the membership and the table's age. Returns empty if an entry or delta is
/// malformed; the link must then be closed.
std::optional<digest_changes> receive_digest(digest_link& link, const member_digest& digest,
                                             membership& known, table_freshness& freshness,
                                             core::steady_time now);

} // namespace figspoke::state
