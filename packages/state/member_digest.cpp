#include "state/member_digest.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/erase_where.h"
#include "state/beat_pack.h"

// A link carries each member in full once and afterwards short entries that refer to it by a number. They are
// differences to what was sent before, so they count only in an unbroken sequence; after a gap the receiver
// ignores them and asks for all members again. Full entries may be lost, repeated or reordered.

namespace figspoke::state {
namespace {

// Bounds the memory that a peer's indexes can take; far above 380 members and their replacements on one link.
constexpr std::uint64_t max_link_members = 65536;

// Time for an answer to a resync before it is asked for again.
constexpr int resync_interval = 10;

auto age_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat);
}

bool has_peer(const sent_member& sent, const member_entry& entry) {
    return sent.from_peer && age_key(entry) <= std::tie(sent.peer_incarnation, sent.peer_heartbeat);
}

bool was_sent(const sent_member& sent, const member_entry& entry) {
    return sent.complete && age_key(entry) <= std::tie(sent.incarnation, sent.heartbeat);
}

bool may_be_short(const sent_member& sent, const member_record& record) {
    return sent.complete && sent.incarnation == record.entry.incarnation &&
           sent.content_stamp == record.content_stamp;
}

short_entry make_short(const sent_member& sent, const member_entry& entry) {
    short_entry made;
    made.index = sent.index;
    made.advance = entry.heartbeat - sent.heartbeat;
    made.state = entry.state;
    if (entry.load != sent.load) {
        made.load = entry.load;
    }
    if (entry.table_revision != sent.table_revision) {
        made.table_revision = entry.table_revision;
    }
    if (entry.roster_version != sent.roster_version) {
        made.roster_version = entry.roster_version;
    }
    return made;
}

void note_sent(sent_member& sent, const member_record& record) {
    const auto& entry = record.entry;
    sent.incarnation = entry.incarnation;
    sent.heartbeat = entry.heartbeat;
    sent.table_revision = entry.table_revision;
    sent.roster_version = entry.roster_version;
    sent.load = entry.load;
    sent.content_stamp = record.content_stamp;
    sent.complete = true;
}

// Members that this node has forgotten are forgotten on the link too once they outnumber the known ones.
void drop_forgotten(digest_link& link, const membership& known) {
    if (link.sent.size() <= 2 * known.members.size() + 16) {
        return;
    }
    core::erase_where(
        link.sent, [&](const sent_member&, const std::string& id) { return known.members.count(id) == 0; });
}

digest_member make_complete(digest_link& link, sent_member& sent, const membership& known,
                            const member_record& record, core::steady_time now) {
    if (!sent.complete) {
        sent.index = link.next_index++;
    }
    const auto silence =
        record.entry.id == known.self ? core::milliseconds(0) : core::to_ms(now - record.last_advanced);
    return {sent.index, record.entry, silence};
}

void add_members(member_digest& digest, digest_link& link, const membership& known,
                 const health_timeouts& timeouts, core::steady_time now) {
    std::vector<short_entry> beats;
    for (const auto& [id, record] : known.members) {
        // Failed members are left out, so that nodes don't tell each other of them for ever.
        if (health_of(known, record, timeouts, now) == member_health::failed) {
            continue;
        }
        auto& sent = link.sent[id];
        if (has_peer(sent, record.entry) || was_sent(sent, record.entry)) {
            continue;
        }
        if (may_be_short(sent, record)) {
            beats.push_back(make_short(sent, record.entry));
        } else {
            digest.members.push_back(make_complete(link, sent, known, record, now));
        }
        note_sent(sent, record);
    }
    std::sort(beats.begin(), beats.end(),
              [](const short_entry& a, const short_entry& b) { return a.index < b.index; });
    digest.beats = pack_beats(beats);
}

bool take_resync(digest_link& link) {
    if (!link.needs_resync || link.resync_wait-- > 0) {
        return false;
    }
    link.resync_wait = resync_interval;
    return true;
}

// Returns whether the digest follows the last one, so that its short entries count. Sequence numbers go on
// after a full digest: a late one must not be taken for the beginning of a newer sequence.
bool follow_sequence(digest_link& link, const member_digest& digest) {
    if (digest.sequence < link.expected_sequence) {
        return false;
    }
    if (digest.full) {
        link.received.clear();
        link.needs_resync = false;
        link.resync_wait = 0;
    } else if (digest.sequence != link.expected_sequence) {
        link.needs_resync = true;
    }
    link.expected_sequence = digest.sequence + 1;
    return !link.needs_resync;
}

bool merge_received(digest_link& link, const member_entry& entry, core::milliseconds silence,
                    membership& known, core::steady_time now) {
    auto& sent = link.sent[entry.id];
    if (!sent.from_peer || std::tie(sent.peer_incarnation, sent.peer_heartbeat) < age_key(entry)) {
        sent.from_peer = true;
        sent.peer_incarnation = entry.incarnation;
        sent.peer_heartbeat = entry.heartbeat;
    }
    const auto before = known.members.find(entry.id);
    const auto state = before == known.members.end() ? member_state::left : before->second.entry.state;
    const auto stamp = known.last_stamp;
    const bool merged = merge_entry(known, entry, silence, now);
    return merged && (known.last_stamp != stamp || state != entry.state);
}

bool receive_members(digest_link& link, const member_digest& digest, bool in_order, membership& known,
                     digest_news& news, core::steady_time now) {
    for (const auto& member : digest.members) {
        if (member.index >= max_link_members || member.entry.id.empty()) {
            return false;
        }
        news.content |= merge_received(link, member.entry, member.silence, known, now);
        if (!in_order) {
            continue;
        }
        if (member.index >= link.received.size()) {
            link.received.resize(member.index + 1);
        }
        link.received[member.index] = member.entry;
    }
    return true;
}

void apply_short(member_entry& entry, const short_entry& beat) {
    entry.heartbeat += beat.advance;
    entry.state = beat.state;
    entry.load = beat.load.value_or(entry.load);
    entry.table_revision = beat.table_revision.value_or(entry.table_revision);
    entry.roster_version = beat.roster_version.value_or(entry.roster_version);
}

bool receive_beats(digest_link& link, std::string_view packed, membership& known, digest_news& news,
                   core::steady_time now) {
    const auto beats = unpack_beats(packed);
    if (!beats) {
        return false;
    }
    for (const auto& beat : *beats) {
        if (beat.index >= link.received.size() || link.received[beat.index].id.empty()) {
            return false;
        }
        auto& entry = link.received[beat.index];
        apply_short(entry, beat);
        news.content |= merge_received(link, entry, core::milliseconds(0), known, now);
    }
    return true;
}

void receive_table_age(digest_link& link, const member_digest& digest, table_freshness& freshness) {
    link.last_peer_ask = std::max(link.last_peer_ask, digest.ask);
    const auto asked = asked_at(link.asks, digest.echo);
    if (asked && digest.table_age) {
        note_peer_age(freshness, digest.table_revision, *digest.table_age, *asked);
    }
}

void restart_sending(digest_link& link) {
    link.send_full = true;
    link.next_index = 0;
    link.sent.clear();
}

} // namespace

member_digest build_digest(digest_link& link, const membership& known, const table_freshness& freshness,
                           const health_timeouts& timeouts, core::steady_time now) {
    drop_forgotten(link, known);
    member_digest digest;
    digest.sequence = link.next_sequence++;
    digest.full = std::exchange(link.send_full, false);
    digest.resync = take_resync(link);
    digest.table_revision = freshness.revision;
    digest.table_age = table_age(freshness, now);
    digest.ask = ask_age(link.asks, now);
    digest.echo = link.last_peer_ask;
    digest.roster_version = self_entry(known).roster_version;
    add_members(digest, link, known, timeouts, now);
    return digest;
}

std::optional<digest_news> receive_digest(digest_link& link, const member_digest& digest, membership& known,
                                          table_freshness& freshness, core::steady_time now) {
    if (digest.resync) {
        restart_sending(link);
    }
    digest_news news;
    const bool in_order = follow_sequence(link, digest);
    if (!receive_members(link, digest, in_order, known, news, now)) {
        return std::nullopt;
    }
    if (in_order && !receive_beats(link, digest.beats, known, news, now)) {
        return std::nullopt;
    }
    receive_table_age(link, digest, freshness);
    news.higher_table = digest.table_revision > freshness.revision;
    news.higher_roster = digest.roster_version > self_entry(known).roster_version;
    return news;
}

} // namespace figspoke::state
