#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"
#include "policy/crash_suspects.h"
#include "policy/plan_choice.h"
#include "policy/prefix_hints.h"
#include "policy/upstream_choice.h"
#include "policy/upstream_health.h"
#include "policy/upstream_load.h"

namespace figspoke::node {

/// What this node knows of one upstream.
struct upstream_entry {
    policy::load_report report;
    policy::local_requests own;
    /// This node's requests that run on it, by request id.
    std::map<std::string, policy::in_flight_request> running;
    /// Number of the last cache event that was read.
    std::uint64_t next_event = 0;
};

/// All upstreams by name.
struct upstream_table {
    mutable std::mutex mutex;
    std::map<std::string, upstream_entry> entries;
    policy::health_table health;
    policy::prefix_hints hints;
    std::size_t turn = 0;
    /// The upstreams that this node uses; empty until they are first chosen, which stands for all.
    std::set<std::string> used;
};

/// Returns the capacity of every version, for plan choice.
std::map<std::string, policy::version_capacity> version_capacities(const upstream_table& upstreams,
                                                                   const core::config_snapshot& config,
                                                                   core::steady_time now);

/// Returns the upstreams that serve a version, with their estimated load. `prefix` is the hash of version
/// and prompt prefix.
std::vector<policy::upstream_candidate>
candidates_for_version(const upstream_table& upstreams, const core::config_snapshot& config,
                       const std::string& version, const std::string& prefix, core::steady_time now);

/// Returns the upstreams that serve a plain service. Only an idempotent call may test an upstream that
/// failed.
std::vector<policy::upstream_candidate> candidates_for_service(const upstream_table& upstreams,
                                                               const core::config_snapshot& config,
                                                               const core::service& service,
                                                               core::steady_time now);

/// Returns and advances the counter of the round-robin baseline.
std::size_t next_turn(upstream_table& upstreams);

/// Records that a request starts on an upstream.
void record_start(upstream_table& upstreams, const std::string& name, const std::string& request_id,
                  const policy::in_flight_request& request, core::steady_time now);

/// How a request on an upstream ended, for its health.
enum class upstream_result { succeeded, failed, not_counted };

/// Records that a request on an upstream ended. Returns the requests of this node that were running on it,
/// the ended one included.
std::vector<policy::in_flight_request> record_end(upstream_table& upstreams, const std::string& name,
                                                  const std::string& request_id, upstream_result result,
                                                  core::steady_time now);

} // namespace figspoke::node
