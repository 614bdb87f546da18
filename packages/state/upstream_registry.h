#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/time.h"
#include "state/store_position.h"

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
    /// Rises with each write of one incarnation; not a part of comparisons.
    std::uint64_t sequence = 0;
    /// Revision of the entry in the store, 0 if it isn't known; not a part of comparisons.
    std::uint64_t revision = 0;
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
    /// Newly listed by an older copy of the store, and not used until they have written again.
    std::vector<std::string> held_back;
    /// Held back until now.
    std::vector<std::string> released;
};

/// The last that was known of an upstream that left.
struct departed_upstream {
    std::int64_t incarnation = 0;
    std::uint64_t sequence = 0;
    core::steady_time at{};
};

/// An entry as it was first seen after the store came back from an older copy.
struct held_entry {
    std::int64_t incarnation = 0;
    std::uint64_t sequence = 0;
};

/// All upstreams that a node knows.
struct upstream_registry {
    std::map<std::string, upstream_record> upstreams;
    /// Upstreams that left a short time ago, by id.
    std::map<std::string, departed_upstream> departed;
    /// Entries that are listed but older than what this node knows of their upstreams, by id.
    std::map<std::string, held_entry> held_back;
    /// Since when there have been such entries.
    core::steady_time held_since = core::steady_time::min();
    /// Era of the latest list or confirmation; empty before the first.
    std::optional<store_era> era;
    /// Highest revision of a list or confirmation of this era.
    std::uint64_t revision = 0;
    /// How many copies of peers were compared in this era, so that a node that has just started learns which
    /// entries its peers hold back.
    int compared_copies = 0;
    core::steady_time compared_at{};
    /// When a list was last applied.
    core::steady_time applied_at = core::steady_time::min();
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
    /// How long an upstream that left is remembered; longer than the age of a copy of the store.
    core::seconds departed_lifetime{60};
    std::size_t max_departed = 4096;
    /// Shortest and longest time between copies of the list from peers while entries are held back.
    core::milliseconds min_refresh{1000};
    core::milliseconds max_refresh{30000};
    /// Copies of peers that are compared in each era in any case.
    int min_compared_copies = 2;
};

/// The era of the store in which a list was current, when it was, and at which revision.
struct list_confirmation {
    store_era era;
    core::steady_time at{};
    std::uint64_t revision = 0;
};

/// Applies a complete list. Missing entries are removed, unless the list follows an outage or comes from
/// another copy of the store: entries are then missing although their upstreams still serve. An entry that is
/// older than what is known of its upstream doesn't bring it back.
registry_changes apply_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                            const list_confirmation& confirmation, core::steady_time now,
                            const registry_timeouts& timeouts);

/// Applies a copy of the list that is known already, of which only the sequences differ. The times for which
/// upstreams stay cold are kept, as they run down by themselves.
registry_changes refresh_list(upstream_registry& registry, const std::vector<upstream_entry>& list,
                              const list_confirmation& confirmation, core::steady_time now,
                              const registry_timeouts& timeouts);

/// Records that the list was confirmed without a change, and removes missing entries whose grace period has
/// ended.
registry_changes confirm_list(upstream_registry& registry, const list_confirmation& confirmation,
                              core::steady_time now, const registry_timeouts& timeouts);

/// An entry that a peer holds back.
struct told_held_entry {
    std::string id;
    held_entry entry;
};

/// Returns the entries that are held back, for a peer that copies the list.
std::vector<told_held_entry> told_held_entries(const upstream_registry& registry);

/// Holds back the entries that a peer held back in `era`, unless this node has seen a later one.
registry_changes merge_held_entries(upstream_registry& registry, const std::vector<told_held_entry>& told,
                                    const store_era& era, core::steady_time now);

/// Returns whether the list of a peer that is at `peer_era` should be copied to learn what it holds back.
bool needs_comparison(const upstream_registry& registry, const store_era& peer_era, core::steady_time now,
                      const registry_timeouts& timeouts);

/// Returns whether the list should be copied from a peer although its hash is known: the hash leaves out the
/// sequences, by which upstreams that are held back show that they have written again.
bool needs_refresh(const upstream_registry& registry, core::steady_time now,
                   const registry_timeouts& timeouts);

/// Returns the versions of all registered upstreams of a service.
std::set<std::string> versions_of(const upstream_registry& registry, const std::string& service);

/// Returns the upstreams of a service that may receive new requests.
std::vector<const upstream_entry*> serving_upstreams(const upstream_registry& registry,
                                                     const std::string& service);

} // namespace figspoke::state
