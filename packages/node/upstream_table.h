#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"
#include "policy/plan_choice.h"
#include "policy/upstream_choice.h"
#include "policy/upstream_load.h"

namespace figspoke::node {

/// What this node knows of one upstream.
struct upstream_entry {
    policy::load_report report;
    policy::own_work own;
    /// Hashes of prompt prefixes that its cache events named.
    std::set<std::string> cached_prefixes;
    std::uint64_t next_event = 0;
};

/// All upstreams by name.
struct upstream_table {
    mutable std::mutex mutex;
    std::map<std::string, upstream_entry> entries;
    std::size_t turn = 0;
};

/// Returns the capacity of every version, for plan choice.
std::map<std::string, policy::version_capacity> version_capacities(const upstream_table& upstreams,
                                                                   const core::config_snapshot& config);

/// Returns the upstreams that serve a version, with their estimated load. `prefix` is the hash of version
/// and prompt prefix.
std::vector<policy::upstream_candidate> candidates_for_version(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const std::string& version,
                                                               const std::string& prefix);

/// Returns the upstreams that serve a plain service.
std::vector<policy::upstream_candidate> candidates_for_service(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const std::string& service);

/// Returns and advances the counter of the round-robin baseline.
std::size_t next_turn(upstream_table& upstreams);

/// Records that a request starts on an upstream.
void record_start(upstream_table& upstreams, const std::string& name, core::steady_time now);

/// Records that a request on an upstream ended.
void record_end(upstream_table& upstreams, const std::string& name, core::steady_time now);

} // namespace figspoke::node
