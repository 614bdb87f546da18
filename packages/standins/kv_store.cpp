#include "standins/kv_store.h"

namespace figspoke::standins {

kv_outcome kv_put(kv_store& store, const std::string& key, std::string value, std::uint64_t expect,
                  const std::string& lease) {
    if (!lease.empty() && store.leases.count(lease) == 0) {
        return {kv_status::lease_ended, 0};
    }
    const auto found = store.entries.find(key);
    const bool present = found != store.entries.end() && found->second.present;
    const std::uint64_t current = present ? found->second.version : 0;
    if (current != expect) {
        return {kv_status::conflict, current};
    }
    auto& entry = store.entries[key];
    entry.value = std::move(value);
    entry.version += 1;
    entry.present = true;
    entry.lease = lease;
    return {kv_status::done, entry.version};
}

kv_outcome kv_remove(kv_store& store, const std::string& key, std::uint64_t expect) {
    const auto found = store.entries.find(key);
    if (found == store.entries.end() || !found->second.present) {
        return {kv_status::not_found, 0};
    }
    auto& entry = found->second;
    if (entry.version != expect) {
        return {kv_status::conflict, entry.version};
    }
    entry = {{}, entry.version, false, {}};
    return {kv_status::done, entry.version};
}

std::optional<kv_entry> kv_get(const kv_store& store, const std::string& key) {
    const auto found = store.entries.find(key);
    if (found == store.entries.end() || !found->second.present) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<std::pair<std::string, std::uint64_t>> kv_list(const kv_store& store, const std::string& prefix) {
    std::vector<std::pair<std::string, std::uint64_t>> keys;
    for (auto it = store.entries.lower_bound(prefix); it != store.entries.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0) {
            break;
        }
        if (it->second.present) {
            keys.emplace_back(it->first, it->second.version);
        }
    }
    return keys;
}

std::string kv_grant(kv_store& store, core::milliseconds duration, core::steady_time now) {
    auto id = "lease-" + std::to_string(store.next_lease++);
    store.leases[id] = {duration, now + duration};
    return id;
}

bool kv_renew(kv_store& store, const std::string& lease, core::steady_time now) {
    const auto found = store.leases.find(lease);
    if (found == store.leases.end()) {
        return false;
    }
    found->second.ends = now + found->second.duration;
    return true;
}

bool kv_end_lease(kv_store& store, const std::string& lease) {
    if (store.leases.erase(lease) == 0) {
        return false;
    }
    for (auto& [key, entry] : store.entries) {
        if (entry.present && entry.lease == lease) {
            entry = {{}, entry.version, false, {}};
        }
    }
    return true;
}

void kv_expire(kv_store& store, core::steady_time now) {
    if (store.paused_since) {
        return;
    }
    std::vector<std::string> ended;
    for (const auto& [id, lease] : store.leases) {
        if (lease.ends <= now) {
            ended.push_back(id);
        }
    }
    for (const auto& id : ended) {
        kv_end_lease(store, id);
    }
}

void kv_return(kv_store& store, const kv_store& copy) {
    store.entries = copy.entries;
    store.leases = copy.leases;
    store.next_lease = copy.next_lease;
}

void kv_pause_leases(kv_store& store, bool paused, core::steady_time now) {
    if (paused && !store.paused_since) {
        kv_expire(store, now);
        store.paused_since = now;
    } else if (!paused && store.paused_since) {
        for (auto& [id, lease] : store.leases) {
            lease.ends += now - *store.paused_since;
        }
        store.paused_since.reset();
    }
}

} // namespace figspoke::standins
