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

/// A member's entry in full, with the number that short entries of the same link use for it.
struct digest_member {
    std::uint64_t index = 0;
    member_entry entry;
    /// Time since the sender saw its heartbeat advance.
    core::milliseconds silence{0};
};

/// One digest on one link.
struct member_digest {
    /// Position in the link's sequence.
    std::uint64_t sequence = 0;
    /// Begins anew with all members and with new indexes.
    bool full = false;
    /// The sender missed a digest and needs all members again.
    bool resync = false;
    std::uint64_t table_revision = 0;
    /// Age of the sender's table at the time of sending; empty where unknown.
    std::optional<core::milliseconds> table_age;
    /// Number of the sender's question for the receiver's table age.
    std::uint64_t ask = 0;
    /// The last question of the receiver that had arrived when `table_age` was taken.
    std::uint64_t echo = 0;
    std::uint64_t roster_version = 0;
    std::vector<digest_member> members;
    /// Short entries, packed by `pack_beats`.
    std::string beats;
};

/// What was sent of a member on a link, and what the peer is known to have.
struct sent_member {
    std::uint64_t index = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t heartbeat = 0;
    std::uint64_t table_revision = 0;
    std::uint64_t roster_version = 0;
    std::uint64_t content_stamp = 0;
    std::uint8_t load = 0;
    member_state state = member_state::joining;
    bool complete = false;
    /// Newest that the peer itself sent, if any.
    bool from_peer = false;
    std::uint64_t peer_incarnation = 0;
    std::uint64_t peer_heartbeat = 0;
};

/// The digest state of one link, for one connection.
struct digest_link {
    std::uint64_t next_sequence = 0;
    bool send_full = true;
    std::uint64_t next_index = 0;
    std::unordered_map<std::string, sent_member> sent;
    /// Entries as received on this link, by the sender's index.
    std::vector<member_entry> received;
    std::uint64_t expected_sequence = 0;
    bool needs_resync = false;
    /// Digests to send before the peer is asked again for all members.
    int resync_wait = 0;
    age_asks asks;
    std::uint64_t last_peer_ask = 0;
};

/// Builds the next digest for a link: all members on a new link, afterwards what advanced.
member_digest build_digest(digest_link& link, const membership& known, const table_freshness& freshness,
                           const health_timeouts& timeouts, core::steady_time now);

/// What a received digest brought.
struct digest_news {
    /// A member was new, or changed its state, address or payload.
    bool content = false;
    /// A higher table revision or roster version exists at the peer.
    bool higher_table = false;
    bool higher_roster = false;
};

/// Merges a digest from a link into the membership and the table's age. Returns empty where its short
/// entries are malformed: the link must be closed.
std::optional<digest_news> receive_digest(digest_link& link, const member_digest& digest, membership& known,
                                          table_freshness& freshness, core::steady_time now);

} // namespace figspoke::state
