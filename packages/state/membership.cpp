#include "state/membership.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

#include "core/erase_where.h"

namespace figspoke::state {
namespace {

// A smaller change of load isn't worth a byte on each link of the fleet.
constexpr int load_step = 5;

// Tombstones outlive the records that other nodes may still hold by this factor.
constexpr int tombstone_lifetimes = 2;

auto order_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat, entry.state, entry.table_revision,
                    entry.roster_version, entry.load, entry.http_address, entry.mesh_address,
                    entry.failure_domain, entry.payload);
}

auto age_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat);
}

auto content_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.http_address, entry.mesh_address, entry.failure_domain,
                    entry.payload);
}

member_record& self_record(membership& known) {
    return known.members.at(known.self);
}

// An earlier process of this node may still be relayed. Raising the incarnation above it makes every node
// prefer the running one.
bool refute(membership& known, const member_entry& entry, core::steady_time now) {
    auto& own = self_record(known);
    if (!supersedes(entry, own.entry)) {
        return false;
    }
    own.entry.incarnation = entry.incarnation + 1;
    ++own.entry.heartbeat;
    own.last_advanced = now;
    own.content_stamp = ++known.last_stamp;
    return true;
}

bool is_buried(const membership& known, const member_entry& entry) {
    const auto found = known.tombstones.find(entry.id);
    return found != known.tombstones.end() &&
           age_key(entry) <= std::tie(found->second.incarnation, found->second.heartbeat);
}

void replace(membership& known, member_record& record, const member_entry& entry,
             core::steady_time advanced_at) {
    if (age_key(record.entry) < age_key(entry)) {
        record.last_advanced = std::max(record.last_advanced, advanced_at);
    }
    if (content_key(record.entry) != content_key(entry)) {
        record.content_stamp = ++known.last_stamp;
    }
    record.entry = entry;
}

void drop_old_tombstones(membership& known, core::milliseconds lifetime, core::steady_time now) {
    auto& stones = known.tombstones;
    core::erase_where(
        stones, [&](const tombstone& stone, const std::string&) { return now - stone.since > lifetime; });
    while (stones.size() > max_tombstones) {
        stones.erase(std::min_element(stones.begin(), stones.end(), [](const auto& a, const auto& b) {
            return a.second.since < b.second.since;
        }));
    }
}

} // namespace

std::optional<member_state> member_state_of(std::uint64_t number) {
    return number > std::uint64_t(member_state::left) ? std::nullopt
                                                      : std::make_optional(static_cast<member_state>(number));
}

bool operator==(const member_entry& a, const member_entry& b) {
    return a.id == b.id && order_key(a) == order_key(b);
}

bool supersedes(const member_entry& a, const member_entry& b) {
    return order_key(a) > order_key(b);
}

membership make_membership(member_entry self, core::steady_time now) {
    membership known;
    known.self = self.id;
    known.last_stamp = 1;
    known.members.emplace(known.self, member_record{std::move(self), now, 1});
    return known;
}

bool merge_entry(membership& known, const member_entry& entry, core::milliseconds silence,
                 core::steady_time now) {
    if (entry.id == known.self) {
        return refute(known, entry, now);
    }
    if (entry.id.empty() || is_buried(known, entry)) {
        return false;
    }
    const auto advanced_at = now - std::max(silence, core::milliseconds(0));
    const auto found = known.members.find(entry.id);
    if (found == known.members.end()) {
        known.members.emplace(entry.id, member_record{entry, advanced_at, ++known.last_stamp});
        return true;
    }
    if (!supersedes(entry, found->second.entry)) {
        return false;
    }
    replace(known, found->second, entry, advanced_at);
    return true;
}

bool merge_heartbeat(membership& known, const std::string& id, const member_pulse& pulse,
                     core::steady_time now) {
    const auto found = known.members.find(id);
    if (id == known.self || found == known.members.end()) {
        return false;
    }
    auto& record = found->second;
    if (record.entry.incarnation != pulse.incarnation || record.entry.heartbeat >= pulse.heartbeat) {
        return false;
    }
    record.entry.heartbeat = pulse.heartbeat;
    record.entry.state = std::max(record.entry.state, pulse.state);
    const auto advanced_at = now - std::max(pulse.silence, core::milliseconds(0));
    record.last_advanced = std::max(record.last_advanced, advanced_at);
    return true;
}

void beat(membership& known, core::steady_time now) {
    auto& own = self_record(known);
    ++own.entry.heartbeat;
    own.last_advanced = now;
}

const member_entry& self_entry(const membership& known) {
    return known.members.at(known.self).entry;
}

void update_self(membership& known, const self_update& update, core::steady_time now) {
    auto& own = self_record(known);
    member_entry changed = own.entry;
    changed.state = std::max(changed.state, update.state);
    changed.table_revision = std::max(changed.table_revision, update.table_revision);
    changed.roster_version = std::max(changed.roster_version, update.roster_version);
    if (std::abs(int(changed.load) - int(update.load)) >= load_step) {
        changed.load = update.load;
    }
    changed.payload = update.payload;
    if (changed == own.entry) {
        return;
    }
    ++changed.heartbeat;
    replace(known, own, changed, now);
}

member_health health_of(const membership& known, const member_record& member, const health_timeouts& timeouts,
                        core::steady_time now) {
    const auto silence = now - member.last_advanced;
    if (member.entry.id == known.self || silence < timeouts.suspect) {
        return member_health::alive;
    }
    return silence < timeouts.failed ? member_health::suspect : member_health::failed;
}

std::vector<const member_entry*> serving_members(const membership& known, const health_timeouts& timeouts,
                                                 core::steady_time now) {
    std::vector<const member_entry*> serving;
    for (const auto& [id, record] : known.members) {
        if (record.entry.state == member_state::serving &&
            health_of(known, record, timeouts, now) == member_health::alive) {
            serving.push_back(&record.entry);
        }
    }
    return serving;
}

void prune(membership& known, const health_timeouts& timeouts, core::steady_time now) {
    for (auto it = known.members.begin(); it != known.members.end();) {
        const auto& record = it->second;
        if (it->first == known.self || now - record.last_advanced <= timeouts.forget) {
            ++it;
            continue;
        }
        auto& stone = known.tombstones[it->first];
        stone = {record.entry.incarnation, record.entry.heartbeat, now};
        it = known.members.erase(it);
    }
    drop_old_tombstones(known, timeouts.forget * tombstone_lifetimes, now);
}

} // namespace figspoke::state
