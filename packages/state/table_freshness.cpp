#include "state/table_freshness.h"

#include <algorithm>

namespace figspoke::state {
namespace {

constexpr std::size_t max_open_asks = 64;

void raise_current_at(table_freshness& freshness, core::steady_time time) {
    if (!freshness.current_at || *freshness.current_at < time) {
        freshness.current_at = time;
    }
}

bool is_fresh(const table_freshness& freshness, const majority_view& view, core::steady_time now) {
    return freshness.current_at && *freshness.current_at >= view.since &&
           now - *freshness.current_at <= fresh_table_age;
}

// A node that started during an outage of the key-value service may have got its table from a peer that
// missed an accepted edit.
bool is_peer_ahead(const table_freshness& freshness, const majority_view& view, core::steady_time now) {
    return std::any_of(view.known.members.begin(), view.known.members.end(), [&](const auto& item) {
        const auto& record = item.second;
        return record.entry.table_revision > freshness.revision && now - record.last_advanced <= reach_window;
    });
}

enum class confirmation { confirmed, unreachable, awaited };

confirmation confirmation_of(const member_record* record, std::uint64_t revision, core::steady_time stored_at,
                             core::steady_time now) {
    if (record != nullptr && record->entry.table_revision >= revision) {
        return confirmation::confirmed;
    }
    // Counted from the CAS too: before it, a member that is out of reach may have read the old table, and it
    // serves by that for up to `fresh_table_age`.
    const auto last_heard = record == nullptr ? stored_at : std::max(record->last_advanced, stored_at);
    return now - last_heard >= unreachable_after ? confirmation::unreachable : confirmation::awaited;
}

} // namespace

void note_table_read(table_freshness& freshness, std::uint64_t revision, core::steady_time asked_at) {
    // The revision in effect is raised by the caller once it has applied the table.
    if (revision <= freshness.revision) {
        raise_current_at(freshness, asked_at);
    }
}

void note_peer_age(table_freshness& freshness, std::uint64_t revision, core::milliseconds age,
                   core::steady_time asked_at) {
    if (revision <= freshness.revision && age >= core::milliseconds(0)) {
        raise_current_at(freshness, asked_at - age);
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
    if (!freshness.current_at) {
        return std::nullopt;
    }
    // Rounded up: the age is an upper bound.
    return std::chrono::ceil<core::milliseconds>(now - *freshness.current_at);
}

service_decision decide_service(const table_freshness& freshness, const majority_view& view,
                                core::steady_time now) {
    if (freshness.revision == 0) {
        return service_decision::isolated;
    }
    if (is_fresh(freshness, view, now)) {
        return service_decision::serve_fresh;
    }
    const bool may_serve = has_majority(view, now) && !is_peer_ahead(freshness, view, now);
    return may_serve ? service_decision::serve_majority : service_decision::isolated;
}

bool is_edit_accepted(std::uint64_t revision, core::steady_time stored_at, const majority_view& view,
                      core::steady_time now) {
    std::map<std::string, const member_record*> awaited;
    for (const auto& [id, incarnation] : view.recorded.voters) {
        if (!has_departed(view, id, incarnation, now)) {
            awaited.emplace(id, nullptr);
        }
    }
    for (const auto& [id, record] : view.known.members) {
        if (!has_departed(view, id, record.entry.incarnation, now)) {
            awaited[id] = &record;
        }
    }
    bool all_confirmed = true;
    for (const auto& [id, record] : awaited) {
        const auto answer = confirmation_of(record, revision, stored_at, now);
        if (answer == confirmation::awaited) {
            return false;
        }
        all_confirmed = all_confirmed && answer == confirmation::confirmed;
    }
    return all_confirmed || has_majority(view, now);
}

std::uint64_t ask_age(age_asks& asks, core::steady_time now) {
    asks.sent.emplace_back(++asks.last, now);
    if (asks.sent.size() > max_open_asks) {
        asks.sent.pop_front();
    }
    return asks.last;
}

std::optional<core::steady_time> asked_at(age_asks& asks, std::uint64_t number) {
    while (!asks.sent.empty() && asks.sent.front().first < number) {
        asks.sent.pop_front();
    }
    if (asks.sent.empty() || asks.sent.front().first != number) {
        return std::nullopt;
    }
    return asks.sent.front().second;
}

} // namespace figspoke::state
