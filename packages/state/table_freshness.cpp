#include "state/table_freshness.h"

#include <algorithm>
#include <limits>

#include "state/store_position.h"

namespace figspoke::state {
namespace {

// Bounds the memory for requests that the peer doesn't answer.
constexpr std::size_t max_pending_requests = 64;

void advance_current_as_of(table_freshness& freshness, core::steady_time time) {
    if (!freshness.current_as_of || *freshness.current_as_of < time) {
        freshness.current_as_of = time;
    }
}

store_era next_era(const store_era& era) {
    if (era.detected < std::numeric_limits<std::uint8_t>::max()) {
        return {era.stated, std::uint8_t(era.detected + 1)};
    }
    return {std::uint16_t(era.stated + 1), 0};
}

bool is_fresh(const table_freshness& freshness, const majority_view& view, core::steady_time now) {
    return freshness.current_as_of && *freshness.current_as_of >= view.valid_since &&
           now - *freshness.current_as_of <= max_fresh_table_age;
}

// A node that started during an outage of the key-value service may have received its table from a peer that
// missed an accepted edit.
bool has_peer_newer_table(const table_freshness& freshness, const majority_view& view,
                          core::steady_time now) {
    return std::any_of(view.known.members.begin(), view.known.members.end(), [&](const auto& item) {
        const auto& record = item.second;
        return record.entry.table_revision > freshness.revision &&
               now - record.last_advanced <= reachability_timeout;
    });
}

enum class confirmation { confirmed, unreachable, awaited };

confirmation confirmation_of(const member_record* record, std::uint64_t revision, core::steady_time stored_at,
                             core::steady_time now) {
    if (record != nullptr && record->entry.table_revision >= revision) {
        return confirmation::confirmed;
    }
    // The timeout also starts no earlier than the CAS: just before it, an unreachable member may have read
    // the old table, and it serves by that table for up to `max_fresh_table_age`.
    const auto last_heard = record == nullptr ? stored_at : std::max(record->last_advanced, stored_at);
    return now - last_heard >= unreachable_timeout ? confirmation::unreachable : confirmation::awaited;
}

} // namespace

std::uint64_t position_of_read(std::uint64_t known, std::uint64_t revision, bool same_content) {
    const auto before = unpack_position(known);
    const bool went_back = revision < before.revision || (revision == before.revision && !same_content);
    return pack_position({went_back ? next_era(before.era) : before.era, revision});
}

bool is_same_era(std::uint64_t a, std::uint64_t b) {
    return unpack_position(a).era == unpack_position(b).era;
}

bool prefers_own_read(const table_freshness& freshness, std::uint64_t peer_revision, core::steady_time now) {
    return freshness.revision != 0 && peer_revision > freshness.revision &&
           !is_same_era(peer_revision, freshness.revision) && freshness.read_at &&
           now - *freshness.read_at <= max_fresh_table_age;
}

void record_table_read(table_freshness& freshness, std::uint64_t revision, core::steady_time requested_at) {
    // The caller raises the revision in effect once it has applied the table.
    if (revision <= freshness.revision) {
        advance_current_as_of(freshness, requested_at);
    }
    freshness.read_at = std::max(freshness.read_at.value_or(requested_at), requested_at);
}

void record_peer_table_age(table_freshness& freshness, std::uint64_t revision, core::milliseconds age,
                           core::steady_time requested_at) {
    if (revision <= freshness.revision && is_same_era(revision, freshness.revision) &&
        age >= core::milliseconds(0)) {
        advance_current_as_of(freshness, requested_at - age);
    }
}

bool raise_revision(table_freshness& freshness, std::uint64_t revision) {
    if (revision <= freshness.revision) {
        return false;
    }
    freshness.revision = revision;
    return true;
}

std::optional<core::milliseconds> table_age(const table_freshness& freshness, core::steady_time now) {
    if (!freshness.current_as_of) {
        return std::nullopt;
    }
    // Rounded up, since the age is an upper bound.
    return std::chrono::ceil<core::milliseconds>(now - *freshness.current_as_of);
}

service_decision decide_service(const table_freshness& freshness, const majority_view& view,
                                core::steady_time now) {
    if (freshness.revision == 0) {
        return service_decision::isolated;
    }
    if (is_fresh(freshness, view, now)) {
        return service_decision::serve_fresh;
    }
    const bool may_serve = has_majority(view, now) && !has_peer_newer_table(freshness, view, now);
    return may_serve ? service_decision::serve_majority : service_decision::isolated;
}

bool is_edit_accepted(std::uint64_t revision, core::steady_time stored_at, const majority_view& view,
                      core::steady_time now) {
    std::map<std::string, const member_record*> required_members;
    for (const auto& [id, incarnation] : view.recorded_roster.voters) {
        if (!has_departed(view, id, incarnation, now)) {
            required_members.emplace(id, nullptr);
        }
    }
    for (const auto& [id, record] : view.known.members) {
        if (!has_departed(view, id, record.entry.incarnation, now)) {
            required_members[id] = &record;
        }
    }
    bool all_confirmed = true;
    for (const auto& [id, record] : required_members) {
        const auto status = confirmation_of(record, revision, stored_at, now);
        if (status == confirmation::awaited) {
            return false;
        }
        all_confirmed = all_confirmed && status == confirmation::confirmed;
    }
    return all_confirmed || has_majority(view, now);
}

std::uint64_t begin_age_request(table_age_requests& requests, core::steady_time now) {
    requests.pending.emplace_back(++requests.last_number, now);
    if (requests.pending.size() > max_pending_requests) {
        requests.pending.pop_front();
    }
    return requests.last_number;
}

std::optional<core::steady_time> find_request_time(table_age_requests& requests, std::uint64_t number) {
    while (!requests.pending.empty() && requests.pending.front().first < number) {
        requests.pending.pop_front();
    }
    if (requests.pending.empty() || requests.pending.front().first != number) {
        return std::nullopt;
    }
    return requests.pending.front().second;
}

} // namespace figspoke::state
