#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"

namespace figspoke::standins {

/// A key's value and version. A removed key keeps its last version.
struct kv_entry {
    std::string value;
    std::uint64_t version = 0;
    bool present = false;
    std::string lease;
};

struct kv_lease {
    core::milliseconds duration{0};
    core::steady_time ends{};
};

/// The content of the key-value service.
struct kv_store {
    std::map<std::string, kv_entry> entries;
    std::map<std::string, kv_lease> leases;
    std::uint64_t next_lease = 1;
    /// Since when leases don't run out.
    std::optional<core::steady_time> paused_since;
};

enum class kv_status { done, conflict, not_found, lease_ended };

/// The outcome of a write: the version after it, or the current one at a conflict (0 where absent).
struct kv_outcome {
    kv_status status = kv_status::done;
    std::uint64_t version = 0;
};

/// Writes a value where the current version is `expect`. An empty lease id means no lease.
kv_outcome kv_put(kv_store& store, const std::string& key, std::string value, std::uint64_t expect,
                  const std::string& lease);

/// Removes a key where the current version is `expect`.
kv_outcome kv_remove(kv_store& store, const std::string& key, std::uint64_t expect);

/// Returns the entry of a key that is present.
std::optional<kv_entry> kv_get(const kv_store& store, const std::string& key);

/// Returns the present keys that begin with the prefix, and their versions.
std::vector<std::pair<std::string, std::uint64_t>> kv_list(const kv_store& store, const std::string& prefix);

/// Grants a lease and returns its id.
std::string kv_grant(kv_store& store, core::milliseconds duration, core::steady_time now);

/// Extends a lease by its duration from now. Returns false where it ended.
bool kv_renew(kv_store& store, const std::string& lease, core::steady_time now);

/// Ends a lease and removes its keys. Returns false where it ended before.
bool kv_end_lease(kv_store& store, const std::string& lease);

/// Ends the leases whose time is over.
void kv_expire(kv_store& store, core::steady_time now);

/// Puts the content of an older copy in place of the current one, as a service does that is restored from a
/// backup: versions and lease numbers go back and are given out again.
void kv_return(kv_store& store, const kv_store& copy);

/// Stops or resumes the time of all leases.
void kv_pause_leases(kv_store& store, bool paused, core::steady_time now);

} // namespace figspoke::standins
