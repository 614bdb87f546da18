#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// What an upstream says of itself.
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
    /// Tells apart two starts under the same id; not used as a time.
    std::int64_t incarnation = 0;
    /// Models that it has loaded; empty for plain services.
    std::vector<std::string> models;
};

bool operator==(const upstream_entry& a, const upstream_entry& b);

/// An upstream as a node knows it.
struct upstream_record {
    upstream_entry entry;
    /// Set while the entry is missing from the list but may come back.
    bool missing = false;
};

/// Changes that one list brought, for the log.
struct registry_changes {
    std::vector<std::string> added;
    std::vector<std::string> restarted;
    std::vector<std::string> draining;
    std::vector<std::string> removed;
    std::vector<std::string> kept;
};

/// The upstreams that a node knows.
struct upstream_registry {
    std::map<std::string, upstream_record> upstreams;
    /// When the list was last confirmed; `steady_time::min()` before the first.
    core::steady_time confirmed_at = core::steady_time::min();
    /// Until when entries that are missing after an outage are kept.
    core::steady_time grace_until = core::steady_time::min();
};

/// Times of the registry.
struct registry_timing {
    /// A gap between two confirmations that counts as an outage of the list.
    core::milliseconds outage{2200};
    /// Time after an outage in which entries that lapsed meanwhile come back.
    core::milliseconds return_grace{2000};
};

/// Applies a whole list that was true at `confirmed_at`. An entry that is missing is gone, unless the list
/// follows an outage: entries lapse while the store is away, and their upstreams still serve.
registry_changes apply_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                            core::steady_time confirmed_at, core::steady_time now,
                            const registry_timing& timing);

/// Notes that the list was confirmed without a change, and drops entries whose grace has ended.
registry_changes confirm_list(upstream_registry& registry, core::steady_time confirmed_at,
                              core::steady_time now, const registry_timing& timing);

/// Returns the upstreams of a service that may get new requests.
std::vector<const upstream_entry*> serving_upstreams(const upstream_registry& registry,
                                                     const std::string& service);

} // namespace figspoke::state
