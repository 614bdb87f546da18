#include "state/membership.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

#include "core/erase_where.h"

namespace figspoke::state {
namespace {

// A smaller change of load isn't worth sending: it takes a byte on each link of the fleet.
constexpr int min_load_change = 5;

// In units of the `forget` timeout: tombstones must outlive the records that other nodes may still hold.
constexpr int tombstone_lifetime_factor = 2;

auto order_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat, entry.state, entry.table_revision,
                    entry.roster_version, entry.load, entry.http_address, entry.mesh_address,
                    entry.failure_domain, entry.payload);
}

auto version_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.heartbeat);
}

auto content_key(const member_entry& entry) {
    return std::tie(entry.incarnation, entry.http_address, entry.mesh_address, entry.failure_domain,
                    entry.payload);
}

member_record& self_record(membership& known) {
    return known.members.at(known.self);
}

// Other nodes may still relay the entry of an earlier process of this node. Raising the incarnation above it
// makes every node prefer the running process.
bool refute(membership& known, const member_entry& entry, core::steady_time now) {
    auto& self = self_record(known);
    if (!supersedes(entry, self.entry)) {
        return false;
    }
    self.entry.incarnation = entry.incarnation + 1;
    ++self.entry.heartbeat;
    self.last_advanced = now;
    self.content_stamp = ++known.last_stamp;
    return true;
}

bool has_tombstone(const membership& known, const member_entry& entry) {
    const auto found = known.tombstones.find(entry.id);
    return found != known.tombstones.end() &&
           version_key(entry) <= std::tie(found->second.incarnation, found->second.heartbeat);
}

void replace(membership& known, member_record& record, const member_entry& entry,
             core::steady_time advanced_at) {
    if (version_key(record.entry) < version_key(entry)) {
        record.last_advanced = std::max(record.last_advanced, advanced_at);
    }
    if (content_key(record.entry) != content_key(entry)) {
        record.content_stamp = ++known.last_stamp;
    }
    record.entry = entry;
}

void drop_old_tombstones(membership& known, core::milliseconds lifetime, core::steady_time now) {
    auto& tombstones = known.tombstones;
    core::erase_where(tombstones, [&](const tombstone& marker, const std::string&) {
        return now - marker.forgotten_at > lifetime;
    });
    while (tombstones.size() > max_tombstones) {
        tombstones.erase(
            std::min_element(tombstones.begin(), tombstones.end(), [](const auto& a, const auto& b) {
                return a.second.forgotten_at < b.second.forgotten_at;
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

bool merge_entry(membership& known, const member_entry& entry, core::milliseconds heartbeat_age,
                 core::steady_time now) {
    if (entry.id == known.self) {
        return refute(known, entry, now);
    }
    if (entry.id.empty() || has_tombstone(known, entry)) {
        return false;
    }
    const auto advanced_at = now - std::max(heartbeat_age, core::milliseconds(0));
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

bool merge_heartbeat(member_record& record, const heartbeat_update& update, core::steady_time now) {
    if (record.entry.incarnation != update.incarnation || record.entry.heartbeat >= update.heartbeat) {
        return false;
    }
    record.entry.heartbeat = update.heartbeat;
    record.entry.state = std::max(record.entry.state, update.state);
    const auto advanced_at = now - std::max(update.heartbeat_age, core::milliseconds(0));
    record.last_advanced = std::max(record.last_advanced, advanced_at);
    return true;
}

void advance_heartbeat(membership& known, core::steady_time now) {
    auto& self = self_record(known);
    ++self.entry.heartbeat;
    self.last_advanced = now;
}

const member_entry& self_entry(const membership& known) {
    return known.members.at(known.self).entry;
}

void update_self(membership& known, const self_update& update, core::steady_time now) {
    auto& self = self_record(known);
    member_entry new_entry = self.entry;
    new_entry.state = std::max(new_entry.state, update.state);
    new_entry.table_revision = std::max(new_entry.table_revision, update.table_revision);
    new_entry.roster_version = std::max(new_entry.roster_version, update.roster_version);
    if (std::abs(int(new_entry.load) - int(update.load)) >= min_load_change) {
        new_entry.load = update.load;
    }
    new_entry.payload = update.payload;
    if (new_entry == self.entry) {
        return;
    }
    ++new_entry.heartbeat;
    replace(known, self, new_entry, now);
}

member_health health_of(const membership& known, const member_record& member, const health_timeouts& timeouts,
                        core::steady_time now) {
    const auto heartbeat_age = now - member.last_advanced;
    if (member.entry.id == known.self || heartbeat_age < timeouts.suspect) {
        return member_health::alive;
    }
    return heartbeat_age < timeouts.failed ? member_health::suspect : member_health::failed;
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

bool is_forgotten(const membership& known, const member_record& member, const health_timeouts& timeouts,
                  core::steady_time now) {
    return member.entry.id != known.self && now - member.last_advanced > timeouts.forget;
}

void prune(membership& known, const health_timeouts& timeouts, core::steady_time now) {
    for (auto it = known.members.begin(); it != known.members.end();) {
        const auto& record = it->second;
        if (!is_forgotten(known, record, timeouts, now)) {
            ++it;
            continue;
        }
        auto& marker = known.tombstones[it->first];
        marker = {record.entry.incarnation, record.entry.heartbeat, now};
        it = known.members.erase(it);
    }
    drop_old_tombstones(known, timeouts.forget * tombstone_lifetime_factor, now);
}

} // namespace figspoke::state
