#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// What an upstream registers about itself.
struct upstream_entry {
    std::string id;
    std::string service;
    /// `IP:port`.
    std::string address;
    std::string failure_domain;
    /// Version of the software that it runs.
    std::string version;
    int slots = 1;
    bool draining = false;
    /// Distinguishes two starts under the same id; not used as a time.
    std::int64_t incarnation = 0;
    /// How long it stayed cold when it wrote this entry; see `relay_service::cold_start`.
    core::milliseconds cold_for{0};
    /// Models that it has loaded; empty for plain services.
    std::vector<std::string> models;
};

bool operator==(const upstream_entry& a, const upstream_entry& b);

/// A node's record of an upstream.
struct upstream_record {
    upstream_entry entry;
    /// Whether the entry is missing from the list but may return.
    bool missing = false;
};

/// Ids of the upstreams that changed with one list or confirmation.
struct registry_changes {
    std::vector<std::string> added;
    std::vector<std::string> restarted;
    std::vector<std::string> draining;
    std::vector<std::string> removed;
    /// Newly missing from the list. Those that are removed at once are in `removed` too.
    std::vector<std::string> kept;
};

/// All upstreams that a node knows.
struct upstream_registry {
    std::map<std::string, upstream_record> upstreams;
    /// When the list was last confirmed; `steady_time::min()` before the first.
    core::steady_time confirmed_at = core::steady_time::min();
    /// Time until which entries that are missing after an outage are kept.
    core::steady_time grace_until = core::steady_time::min();
};

/// Timeouts of the registry.
struct registry_timeouts {
    /// A longer gap between two confirmations counts as an outage of the list.
    core::milliseconds outage_gap{2200};
    /// Time after an outage within which upstreams whose entries expired meanwhile can register again.
    core::milliseconds reregistration_grace{2000};
};

/// Applies a complete list that was current at `confirmed_at`. Missing entries are removed, unless the list
/// follows an outage: entries expire while the store is unavailable although their upstreams still serve.
registry_changes apply_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                            core::steady_time confirmed_at, core::steady_time now,
                            const registry_timeouts& timeouts);

/// Records that the list was confirmed without a change, and removes missing entries whose grace period has
/// ended.
registry_changes confirm_list(upstream_registry& registry, core::steady_time confirmed_at,
                              core::steady_time now, const registry_timeouts& timeouts);

/// Returns the versions of all registered upstreams of a service.
std::set<std::string> versions_of(const upstream_registry& registry, const std::string& service);

/// Returns the upstreams of a service that may receive new requests.
std::vector<const upstream_entry*> serving_upstreams(const upstream_registry& registry,
                                                     const std::string& service);

} // namespace figspoke::state
