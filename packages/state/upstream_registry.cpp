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

// A confirmation after an outage starts the grace period in which expired entries are kept.
void record_confirmation(upstream_registry& registry, core::steady_time confirmed_at, core::steady_time now,
                         const registry_timeouts& timeouts) {
    const bool is_first = registry.confirmed_at == core::steady_time::min();
    if (!is_first && confirmed_at - registry.confirmed_at > timeouts.outage_gap) {
        registry.grace_until = now + timeouts.reregistration_grace;
    }
    registry.confirmed_at = std::max(registry.confirmed_at, confirmed_at);
}

void remove_expired(upstream_registry& registry, core::steady_time now, registry_changes& changes) {
    if (now < registry.grace_until) {
        return;
    }
    core::erase_where(registry.upstreams, [&](const upstream_record& record, const std::string& id) {
        if (record.missing) {
            changes.removed.push_back(id);
        }
        return record.missing;
    });
}

void apply_entry(upstream_registry& registry, const upstream_entry& entry, registry_changes& changes) {
    const auto found = registry.upstreams.find(entry.id);
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
                            core::steady_time confirmed_at, core::steady_time now,
                            const registry_timeouts& timeouts) {
    registry_changes changes;
    record_confirmation(registry, confirmed_at, now, timeouts);
    std::set<std::string> listed;
    for (const auto& entry : list) {
        listed.insert(entry.id);
        apply_entry(registry, entry, changes);
    }
    for (auto& [id, record] : registry.upstreams) {
        if (listed.count(id) == 0 && !record.missing) {
            record.missing = true;
            changes.kept.push_back(id);
        }
    }
    remove_expired(registry, now, changes);
    return changes;
}

registry_changes confirm_list(upstream_registry& registry, core::steady_time confirmed_at,
                              core::steady_time now, const registry_timeouts& timeouts) {
    registry_changes changes;
    record_confirmation(registry, confirmed_at, now, timeouts);
    remove_expired(registry, now, changes);
    return changes;
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
