#include "state/member_digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/erase_where.h"
#include "state/member_delta_codec.h"

// A link carries each member in full once and afterwards as deltas that refer to it by an index. A delta is
// relative to the entry that was sent before, so it is valid only in an unbroken sequence. After a gap the
// receiver ignores deltas and requests all members again. Digests with full entries may be lost, repeated or
// reordered.

namespace figspoke::state {
namespace {

// Bounds the memory that a peer's indexes can allocate; far above 380 members and their replacements on one
// link.
constexpr std::uint64_t max_link_members = 65536;

// Digests that are sent before an unanswered resync request is repeated.
constexpr int resync_retry_digests = 10;

auto version_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat);
}

bool peer_sent(const peer_copy& copy, const member_entry& entry) {
    return copy.received_from_peer &&
           version_key(entry) <= std::tie(copy.peer_incarnation, copy.peer_heartbeat);
}

bool was_sent(const peer_copy& copy, const member_entry& entry) {
    return copy.sent_in_full && version_key(entry) <= std::tie(copy.incarnation, copy.heartbeat);
}

bool can_send_delta(const peer_copy& copy, const member_record& record) {
    return copy.sent_in_full && copy.incarnation == record.entry.incarnation &&
           copy.content_stamp == record.content_stamp;
}

member_delta make_delta(const peer_copy& copy, const member_entry& entry) {
    member_delta delta;
    delta.index = copy.index;
    delta.heartbeat_increment = entry.heartbeat - copy.heartbeat;
    delta.state = entry.state;
    if (entry.load != copy.load) {
        delta.load = entry.load;
    }
    if (entry.table_revision != copy.table_revision) {
        delta.table_revision = entry.table_revision;
    }
    if (entry.roster_version != copy.roster_version) {
        delta.roster_version = entry.roster_version;
    }
    return delta;
}

void record_sent(peer_copy& copy, const member_record& record) {
    const auto& entry = record.entry;
    copy.incarnation = entry.incarnation;
    copy.heartbeat = entry.heartbeat;
    copy.table_revision = entry.table_revision;
    copy.roster_version = entry.roster_version;
    copy.load = entry.load;
    copy.content_stamp = record.content_stamp;
    copy.sent_in_full = true;
}

// Drops the link's state of members that this node has forgotten, once they outnumber the known members.
void drop_forgotten_members(digest_link& link, const membership& known) {
    if (link.peer_copies.size() <= 2 * known.members.size() + 16) {
        return;
    }
    core::erase_where(link.peer_copies,
                      [&](const peer_copy&, const std::string& id) { return known.members.count(id) == 0; });
}

full_member_entry make_full_entry(digest_link& link, peer_copy& copy, const membership& known,
                                  const member_record& record, core::steady_time now) {
    if (!copy.sent_in_full) {
        copy.index = link.next_index++;
    }
    const auto heartbeat_age =
        record.entry.id == known.self ? core::milliseconds(0) : core::to_ms(now - record.last_advanced);
    return {copy.index, record.entry, heartbeat_age};
}

void add_members(member_digest& digest, digest_link& link, const membership& known,
                 const health_timeouts& timeouts, core::steady_time now) {
    std::vector<member_delta> deltas;
    for (const auto& [id, record] : known.members) {
        // Failed members are left out, so that nodes don't send each other their entries forever.
        if (health_of(known, record, timeouts, now) == member_health::failed) {
            continue;
        }
        auto& copy = link.peer_copies[id];
        if (peer_sent(copy, record.entry) || was_sent(copy, record.entry)) {
            continue;
        }
        if (can_send_delta(copy, record)) {
            deltas.push_back(make_delta(copy, record.entry));
        } else {
            digest.members.push_back(make_full_entry(link, copy, known, record, now));
        }
        record_sent(copy, record);
    }
    std::sort(deltas.begin(), deltas.end(),
              [](const member_delta& a, const member_delta& b) { return a.index < b.index; });
    digest.encoded_deltas = encode_deltas(deltas);
}

bool take_resync_request(digest_link& link) {
    if (!link.needs_resync || link.digests_until_resync-- > 0) {
        return false;
    }
    link.digests_until_resync = resync_retry_digests;
    return true;
}

// Returns whether the digest directly follows the last one, so that its deltas are valid. Sequence numbers
// continue after a full digest: a delayed full digest must not be taken for the start of a newer sequence.
bool advance_sequence(digest_link& link, const member_digest& digest) {
    if (digest.sequence < link.expected_sequence) {
        return false;
    }
    if (digest.full) {
        link.received_entries.clear();
        link.needs_resync = false;
        link.digests_until_resync = 0;
    } else if (digest.sequence != link.expected_sequence) {
        link.needs_resync = true;
    }
    link.expected_sequence = digest.sequence + 1;
    return !link.needs_resync;
}

bool merge_received(digest_link& link, const member_entry& entry, core::milliseconds heartbeat_age,
                    membership& known, core::steady_time now) {
    auto& copy = link.peer_copies[entry.id];
    if (!copy.received_from_peer ||
        std::tie(copy.peer_incarnation, copy.peer_heartbeat) < version_key(entry)) {
        copy.received_from_peer = true;
        copy.peer_incarnation = entry.incarnation;
        copy.peer_heartbeat = entry.heartbeat;
    }
    const auto before = known.members.find(entry.id);
    const auto state = before == known.members.end() ? member_state::left : before->second.entry.state;
    const auto stamp = known.last_stamp;
    const bool merged = merge_entry(known, entry, heartbeat_age, now);
    return merged && (known.last_stamp != stamp || state != entry.state);
}

bool receive_members(digest_link& link, const member_digest& digest, bool in_order, membership& known,
                     digest_changes& changes, core::steady_time now) {
    for (const auto& member : digest.members) {
        if (member.index >= max_link_members || member.entry.id.empty()) {
            return false;
        }
        changes.members_changed |= merge_received(link, member.entry, member.heartbeat_age, known, now);
        if (!in_order) {
            continue;
        }
        if (member.index >= link.received_entries.size()) {
            link.received_entries.resize(member.index + 1);
        }
        link.received_entries[member.index] = member.entry;
    }
    return true;
}

void apply_delta(member_entry& entry, const member_delta& delta) {
    entry.heartbeat += delta.heartbeat_increment;
    entry.state = delta.state;
    entry.load = delta.load.value_or(entry.load);
    entry.table_revision = delta.table_revision.value_or(entry.table_revision);
    entry.roster_version = delta.roster_version.value_or(entry.roster_version);
}

bool receive_deltas(digest_link& link, std::string_view encoded, membership& known, digest_changes& changes,
                    core::steady_time now) {
    const auto deltas = decode_deltas(encoded);
    if (!deltas) {
        return false;
    }
    for (const auto& delta : *deltas) {
        if (delta.index >= link.received_entries.size() || link.received_entries[delta.index].id.empty()) {
            return false;
        }
        auto& entry = link.received_entries[delta.index];
        apply_delta(entry, delta);
        changes.members_changed |= merge_received(link, entry, core::milliseconds(0), known, now);
    }
    return true;
}

void receive_table_age(digest_link& link, const member_digest& digest, table_freshness& freshness) {
    link.last_peer_request = std::max(link.last_peer_request, digest.request_number);
    const auto requested_at = find_request_time(link.age_requests, digest.echoed_request_number);
    if (requested_at && digest.table_age) {
        record_peer_table_age(freshness, digest.table_revision, *digest.table_age, *requested_at);
    }
}

void restart_sending(digest_link& link) {
    link.send_full = true;
    link.next_index = 0;
    link.peer_copies.clear();
}

} // namespace

member_digest build_digest(digest_link& link, const membership& known, const table_freshness& freshness,
                           const health_timeouts& timeouts, core::steady_time now) {
    drop_forgotten_members(link, known);
    member_digest digest;
    digest.sequence = link.next_sequence++;
    digest.full = std::exchange(link.send_full, false);
    digest.resync_requested = take_resync_request(link);
    digest.table_revision = freshness.revision;
    digest.table_age = table_age(freshness, now);
    digest.request_number = begin_age_request(link.age_requests, now);
    digest.echoed_request_number = link.last_peer_request;
    digest.roster_version = self_entry(known).roster_version;
    add_members(digest, link, known, timeouts, now);
    return digest;
}

std::optional<digest_changes> receive_digest(digest_link& link, const member_digest& digest,
                                             membership& known, table_freshness& freshness,
                                             core::steady_time now) {
    if (digest.resync_requested) {
        restart_sending(link);
    }
    digest_changes changes;
    const bool in_order = advance_sequence(link, digest);
    if (!receive_members(link, digest, in_order, known, changes, now)) {
        return std::nullopt;
    }
    if (in_order && !receive_deltas(link, digest.encoded_deltas, known, changes, now)) {
        return std::nullopt;
    }
    freshness.peer_revision = std::max(freshness.peer_revision, digest.table_revision);
    receive_table_age(link, digest, freshness);
    changes.peer_has_newer_table = digest.table_revision > freshness.revision;
    changes.peer_has_newer_roster = digest.roster_version > self_entry(known).roster_version;
    return changes;
}

} // namespace figspoke::state
