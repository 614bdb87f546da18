#include "state/upstream_registry.h"

#include <algorithm>
#include <set>
#include <tuple>

#include "core/erase_where.h"

namespace figspoke::state {
namespace {

auto fields_of(const upstream_entry& entry) {
    return std::tie(entry.id, entry.service, entry.address, entry.failure_domain, entry.version, entry.slots,
                    entry.draining, entry.incarnation, entry.cold_for, entry.models);
}

bool is_first(const upstream_registry& registry) {
    return registry.confirmed_at == core::steady_time::min();
}

// Returns whether a list of the known era holds an entry that the store had already lost or replaced. It has
// then come back from an older copy, but its revision has passed the known one before a node saw it.
bool shows_return(const upstream_registry& registry, const std::vector<upstream_entry>& list) {
    return std::any_of(list.begin(), list.end(), [&](const upstream_entry& entry) {
        const auto known = registry.upstreams.find(entry.id);
        const bool replaced =
            known != registry.upstreams.end() && entry.revision < known->second.entry.revision;
        const bool lost = known == registry.upstreams.end() && registry.departed.count(entry.id) > 0 &&
                          registry.held_back.count(entry.id) == 0 && entry.revision <= registry.revision;
        return entry.revision > 0 && (replaced || lost);
    });
}

// A confirmation after an outage, or the first one of another copy of the store, starts the grace period in
// which missing entries are kept. Returns whether the store has come back from another copy.
bool record_confirmation(upstream_registry& registry, const list_confirmation& confirmation,
                         bool shown_return, core::steady_time now, const registry_timeouts& timeouts) {
    const bool later_era = registry.era && *registry.era < confirmation.era;
    const bool returned = later_era || shown_return;
    const bool outage = !is_first(registry) && confirmation.at - registry.confirmed_at > timeouts.outage_gap;
    if (returned || outage) {
        registry.grace_until = now + timeouts.reregistration_grace;
        // What left before the store went away may stand in its copy, however long it was away.
        for (auto& [id, left] : registry.departed) {
            left.at = now;
        }
    }
    if (returned) {
        // Revisions of what the store has lost can't be compared with what it holds now.
        for (auto& [id, record] : registry.upstreams) {
            record.entry.revision = 0;
        }
    }
    if (later_era || !registry.era) {
        registry.era = confirmation.era;
        registry.revision = 0;
        registry.compared_copies = 0;
    }
    registry.revision = std::max(registry.revision, confirmation.revision);
    registry.confirmed_at = std::max(registry.confirmed_at, confirmation.at);
    return returned;
}

void remember_departed(upstream_registry& registry, const upstream_entry& entry, core::steady_time now,
                       const registry_timeouts& timeouts) {
    registry.departed[entry.id] = {entry.incarnation, entry.sequence, now};
    if (registry.departed.size() > timeouts.max_departed) {
        registry.departed.erase(
            std::min_element(registry.departed.begin(), registry.departed.end(),
                             [](const auto& a, const auto& b) { return a.second.at < b.second.at; }));
    }
}

void remove_expired(upstream_registry& registry, core::steady_time now, const registry_timeouts& timeouts,
                    registry_changes& changes) {
    core::erase_where(registry.departed, [&](const departed_upstream& departed, const std::string&) {
        return now - departed.at > timeouts.departed_lifetime;
    });
    if (now < registry.grace_until) {
        return;
    }
    core::erase_where(registry.upstreams, [&](const upstream_record& record, const std::string& id) {
        if (record.missing) {
            changes.removed.push_back(id);
            remember_departed(registry, record.entry, now, timeouts);
        }
        return record.missing;
    });
}

// Returns whether an entry of an older copy may have been written before its upstream left or restarted. What
// a node knows of a start may lag behind what the store has acknowledged, as nodes confirm lists without
// copying them, so that sequences alone don't show it.
bool may_be_superseded(const upstream_registry& registry, const upstream_entry& entry) {
    const auto held = registry.held_back.find(entry.id);
    if (held != registry.held_back.end() && entry.incarnation <= held->second.incarnation) {
        return true;
    }
    const auto left = registry.departed.find(entry.id);
    if (left != registry.departed.end() && entry.incarnation <= left->second.incarnation) {
        return true;
    }
    const auto known = registry.upstreams.find(entry.id);
    if (known == registry.upstreams.end()) {
        return false;
    }
    const auto& before = known->second.entry;
    const bool same_start = entry.incarnation == before.incarnation;
    return same_start ? before.draining && !entry.draining : entry.incarnation < before.incarnation;
}

void hold_back(upstream_registry& registry, const std::vector<upstream_entry>& list, core::steady_time now,
               registry_changes& changes) {
    std::map<std::string, held_entry> held;
    for (const auto& entry : list) {
        if (may_be_superseded(registry, entry)) {
            held[entry.id] = {entry.incarnation, entry.sequence};
            changes.held_back.push_back(entry.id);
        }
    }
    registry.held_back = std::move(held);
    registry.held_since = now;
}

// Within an era the list only moves on, so that an entry that differs from the first one was written since.
void release(upstream_registry& registry, const std::vector<upstream_entry>& list, core::steady_time now,
             registry_changes& changes) {
    std::map<std::string, const upstream_entry*> listed;
    for (const auto& entry : list) {
        listed[entry.id] = &entry;
    }
    core::erase_where(registry.held_back, [&](const held_entry& held, const std::string& id) {
        const auto found = listed.find(id);
        if (found == listed.end()) {
            if (const auto left = registry.departed.find(id); left != registry.departed.end()) {
                left->second.at = now;
            }
            return true;
        }
        const auto& entry = *found->second;
        const bool written = entry.incarnation != held.incarnation || entry.sequence > held.sequence;
        if (written) {
            changes.released.push_back(id);
        }
        return written;
    });
}

void begin_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                const list_confirmation& confirmation, core::steady_time now, bool shown_return,
                const registry_timeouts& timeouts, registry_changes& changes) {
    if (record_confirmation(registry, confirmation, shown_return, now, timeouts)) {
        hold_back(registry, list, now, changes);
    } else {
        release(registry, list, now, changes);
    }
    registry.applied_at = now;
}

// Returns whether an entry was written before what is known of the same start. An entry that names no start
// may belong to a later one, whose sequence began anew.
bool is_outdated(const upstream_registry& registry, const upstream_entry& entry) {
    if (entry.incarnation == 0) {
        return false;
    }
    if (const auto known = registry.upstreams.find(entry.id); known != registry.upstreams.end()) {
        return known->second.entry.incarnation == entry.incarnation &&
               entry.sequence < known->second.entry.sequence;
    }
    const auto left = registry.departed.find(entry.id);
    return left != registry.departed.end() && left->second.incarnation == entry.incarnation &&
           entry.sequence < left->second.sequence;
}

void apply_entry(upstream_registry& registry, const upstream_entry& entry, registry_changes& changes) {
    const auto found = registry.upstreams.find(entry.id);
    if (is_outdated(registry, entry)) {
        if (found != registry.upstreams.end()) {
            found->second.missing = false;
            found->second.entry.revision = entry.revision;
        }
        return;
    }
    registry.departed.erase(entry.id);
    if (found == registry.upstreams.end()) {
        registry.upstreams.emplace(entry.id, upstream_record{entry, false});
        changes.added.push_back(entry.id);
        return;
    }
    auto& record = found->second;
    if (record.entry.incarnation != entry.incarnation || record.entry.address != entry.address) {
        changes.restarted.push_back(entry.id);
    } else if (entry.draining && !record.entry.draining) {
        changes.draining.push_back(entry.id);
    }
    record = upstream_record{entry, false};
}

} // namespace

bool operator==(const upstream_entry& a, const upstream_entry& b) {
    return fields_of(a) == fields_of(b);
}

registry_changes apply_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                            const list_confirmation& confirmation, core::steady_time now,
                            const registry_timeouts& timeouts) {
    registry_changes changes;
    const bool shown_return = registry.era == confirmation.era && shows_return(registry, list);
    begin_list(registry, list, confirmation, now, shown_return, timeouts, changes);
    std::set<std::string> listed;
    for (const auto& entry : list) {
        if (registry.held_back.count(entry.id) == 0) {
            listed.insert(entry.id);
            apply_entry(registry, entry, changes);
        }
    }
    for (auto& [id, record] : registry.upstreams) {
        if (listed.count(id) == 0 && !record.missing) {
            record.missing = true;
            changes.kept.push_back(id);
        }
    }
    remove_expired(registry, now, timeouts, changes);
    return changes;
}

registry_changes refresh_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                              const list_confirmation& confirmation, core::steady_time now,
                              const registry_timeouts& timeouts) {
    registry_changes changes;
    begin_list(registry, list, confirmation, now, false, timeouts, changes);
    const std::set<std::string> released(changes.released.begin(), changes.released.end());
    for (const auto& entry : list) {
        const auto known = registry.upstreams.find(entry.id);
        if (released.count(entry.id) > 0) {
            apply_entry(registry, entry, changes);
        } else if (known != registry.upstreams.end() &&
                   known->second.entry.incarnation == entry.incarnation) {
            auto& kept = known->second.entry;
            kept.sequence = std::max(kept.sequence, entry.sequence);
            kept.revision = std::max(kept.revision, entry.revision);
        }
    }
    remove_expired(registry, now, timeouts, changes);
    return changes;
}

registry_changes confirm_list(upstream_registry& registry, const list_confirmation& confirmation,
                              core::steady_time now, const registry_timeouts& timeouts) {
    registry_changes changes;
    record_confirmation(registry, confirmation, false, now, timeouts);
    remove_expired(registry, now, timeouts, changes);
    return changes;
}

std::vector<told_held_entry> told_held_entries(const upstream_registry& registry) {
    std::vector<told_held_entry> told;
    for (const auto& [id, held] : registry.held_back) {
        told.push_back({id, held});
    }
    return told;
}

registry_changes merge_held_entries(upstream_registry& registry, const std::vector<told_held_entry>& told,
                                    const store_era& era, core::steady_time now) {
    registry_changes changes;
    if (registry.era != era) {
        return changes;
    }
    ++registry.compared_copies;
    registry.compared_at = now;
    for (const auto& [id, held] : told) {
        const auto known = registry.upstreams.find(id);
        if (known == registry.upstreams.end() || registry.held_back.count(id) > 0 ||
            known->second.entry.incarnation != held.incarnation ||
            known->second.entry.sequence > held.sequence) {
            continue;
        }
        registry.departed[id] = {held.incarnation, known->second.entry.sequence, now};
        registry.upstreams.erase(known);
        registry.held_back[id] = held;
        registry.held_since = now;
        changes.held_back.push_back(id);
        changes.removed.push_back(id);
    }
    return changes;
}

bool needs_comparison(const upstream_registry& registry, const store_era& peer_era, core::steady_time now,
                      const registry_timeouts& timeouts) {
    const bool due = registry.compared_copies == 0 || now - registry.compared_at >= timeouts.min_refresh;
    return due && registry.era == peer_era && registry.compared_copies < timeouts.min_compared_copies;
}

bool needs_refresh(const upstream_registry& registry, core::steady_time now,
                   const registry_timeouts& timeouts) {
    // An upstream that is gone never writes again, so copies become rare.
    const auto pause = std::clamp<core::nanoseconds>((now - registry.held_since) / 2, timeouts.min_refresh,
                                                     timeouts.max_refresh);
    return !registry.held_back.empty() && now - registry.applied_at >= pause;
}

std::set<std::string> versions_of(const upstream_registry& registry, const std::string& service) {
    std::set<std::string> versions;
    for (const auto& [id, record] : registry.upstreams) {
        if (record.entry.service == service) {
            versions.insert(record.entry.version);
        }
    }
    return versions;
}

std::vector<const upstream_entry*> serving_upstreams(const upstream_registry& registry,
                                                     const std::string& service) {
    std::vector<const upstream_entry*> serving;
    for (const auto& [id, record] : registry.upstreams) {
        if (record.entry.service == service && !record.entry.draining) {
            serving.push_back(&record.entry);
        }
    }
    return serving;
}

} // namespace figspoke::state
