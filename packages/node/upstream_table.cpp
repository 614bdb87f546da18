#include "node/upstream_table.h"

#include <algorithm>

namespace figspoke::node {
namespace {

bool contains(const std::vector<std::string>& items, const std::string& item) {
    return std::find(items.begin(), items.end(), item) != items.end();
}

const upstream_entry* find_entry(const upstream_table& upstreams, const std::string& name) {
    const auto found = upstreams.entries.find(name);
    return found == upstreams.entries.end() ? nullptr : &found->second;
}

policy::upstream_candidate make_candidate(const upstream_table& upstreams, const core::upstream& upstream,
                                          const std::string& prefix) {
    policy::upstream_candidate candidate;
    candidate.name = upstream.name;
    candidate.failure_domain = upstream.failure_domain;
    candidate.slots = upstream.slots;
    candidate.queue_limit = upstream.slots;
    if (const auto* entry = find_entry(upstreams, upstream.name)) {
        candidate.load = policy::estimate_load(entry->report, entry->own);
        candidate.prefix_hint = entry->cached_prefixes.count(prefix) > 0;
    }
    return candidate;
}

template <class Serves>
std::vector<policy::upstream_candidate> collect(const upstream_table& upstreams,
                                                const core::config_snapshot& config,
                                                const std::string& prefix, Serves serves) {
    std::vector<policy::upstream_candidate> candidates;
    const std::lock_guard lock(upstreams.mutex);
    for (const auto& [name, upstream] : config.upstreams) {
        if (serves(upstream)) {
            candidates.push_back(make_candidate(upstreams, upstream, prefix));
        }
    }
    return candidates;
}

} // namespace

std::map<std::string, policy::version_capacity> version_capacities(const upstream_table& upstreams,
                                                                   const core::config_snapshot& config) {
    std::map<std::string, policy::version_capacity> capacities;
    const std::lock_guard lock(upstreams.mutex);
    for (const auto& [name, upstream] : config.upstreams) {
        for (const auto& version : upstream.versions) {
            ++capacities[version].usable_upstreams;
        }
    }
    return capacities;
}

std::vector<policy::upstream_candidate> candidates_for_version(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const std::string& version,
                                                               const std::string& prefix) {
    return collect(upstreams, config, prefix,
                   [&](const core::upstream& upstream) { return contains(upstream.versions, version); });
}

std::vector<policy::upstream_candidate> candidates_for_service(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const std::string& service) {
    return collect(upstreams, config, "",
                   [&](const core::upstream& upstream) { return contains(upstream.services, service); });
}

std::size_t next_turn(upstream_table& upstreams) {
    const std::lock_guard lock(upstreams.mutex);
    return upstreams.turn++;
}

void record_start(upstream_table& upstreams, const std::string& name, core::steady_time now) {
    const std::lock_guard lock(upstreams.mutex);
    policy::record_own_work(upstreams.entries[name].own, 1, now);
}

void record_end(upstream_table& upstreams, const std::string& name, core::steady_time now) {
    const std::lock_guard lock(upstreams.mutex);
    policy::record_own_work(upstreams.entries[name].own, -1, now);
}

} // namespace figspoke::node
