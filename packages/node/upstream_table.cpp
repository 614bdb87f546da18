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
                                          const std::string& prefix, core::steady_time now, bool may_probe) {
    policy::upstream_candidate candidate;
    candidate.name = upstream.name;
    candidate.failure_domain = upstream.failure_domain;
    candidate.slots = upstream.slots;
    candidate.queue_limit = upstream.slots;
    candidate.usable = policy::is_usable(upstreams.health, upstream.name, now, may_probe);
    candidate.prefix_hint = policy::has_prefix(upstreams.hints, upstream.name, prefix, now);
    if (const auto* entry = find_entry(upstreams, upstream.name)) {
        candidate.load = policy::estimate_load(entry->report, entry->own);
    }
    return candidate;
}

template <class Serves>
std::vector<policy::upstream_candidate>
collect(const upstream_table& upstreams, const core::config_snapshot& config, const std::string& prefix,
        core::steady_time now, bool may_probe, Serves serves) {
    std::vector<policy::upstream_candidate> candidates;
    const std::lock_guard lock(upstreams.mutex);
    for (const auto& [name, upstream] : config.upstreams) {
        if (serves(upstream) && (upstreams.used.empty() || upstreams.used.count(name) > 0)) {
            candidates.push_back(make_candidate(upstreams, upstream, prefix, now, may_probe));
        }
    }
    return candidates;
}

} // namespace

std::map<std::string, policy::version_capacity> version_capacities(const upstream_table& upstreams,
                                                                   const core::config_snapshot& config,
                                                                   core::steady_time now) {
    std::map<std::string, policy::version_capacity> capacities;
    const std::lock_guard lock(upstreams.mutex);
    for (const auto& [name, upstream] : config.upstreams) {
        if (!policy::is_usable(upstreams.health, name, now)) {
            continue;
        }
        for (const auto& version : upstream.versions) {
            ++capacities[version].usable_upstreams;
        }
    }
    return capacities;
}

std::vector<policy::upstream_candidate>
candidates_for_version(const upstream_table& upstreams, const core::config_snapshot& config,
                       const std::string& version, const std::string& prefix, core::steady_time now) {
    return collect(upstreams, config, prefix, now, true,
                   [&](const core::upstream& upstream) { return contains(upstream.versions, version); });
}

std::vector<policy::upstream_candidate> candidates_for_service(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const core::service& service,
                                                               core::steady_time now) {
    return collect(upstreams, config, "", now, service.idempotent,
                   [&](const core::upstream& upstream) { return contains(upstream.services, service.name); });
}

std::size_t next_turn(upstream_table& upstreams) {
    const std::lock_guard lock(upstreams.mutex);
    return upstreams.turn++;
}

void record_start(upstream_table& upstreams, const std::string& name, const std::string& request_id,
                  const policy::in_flight_request& request, core::steady_time now) {
    const std::lock_guard lock(upstreams.mutex);
    auto& entry = upstreams.entries[name];
    policy::record_local_requests(entry.own, 1, now);
    policy::record_dispatch(upstreams.health, name, now);
    if (!request.fingerprint.empty()) {
        entry.running[request_id] = request;
    }
}

std::vector<policy::in_flight_request> record_end(upstream_table& upstreams, const std::string& name,
                                                  const std::string& request_id, upstream_result result,
                                                  core::steady_time now) {
    const std::lock_guard lock(upstreams.mutex);
    auto& entry = upstreams.entries[name];
    policy::record_local_requests(entry.own, -1, now);
    if (result != upstream_result::not_counted) {
        policy::record_outcome(upstreams.health, name, result == upstream_result::succeeded, now);
    }
    std::vector<policy::in_flight_request> running;
    for (const auto& [id, request] : entry.running) {
        running.push_back(request);
    }
    entry.running.erase(request_id);
    return running;
}

} // namespace figspoke::node
