#include "policy/prefix_hints.h"

namespace figspoke::policy {
namespace {

// Removes expired entries, then further ones in key order until a tenth of the table is free. Keys are
// hashes, so that order is arbitrary. Called only when the table is full.
void evict_entries(prefix_hints& hints, core::steady_time now) {
    const auto is_expired = [&](core::steady_time at) { return now - at >= hints.settings.expiry; };
    for (auto it = hints.holders.begin(); it != hints.holders.end();) {
        for (auto holder = it->second.begin(); holder != it->second.end();) {
            holder = is_expired(holder->second) ? it->second.erase(holder) : std::next(holder);
        }
        it = it->second.empty() ? hints.holders.erase(it) : std::next(it);
    }
    while (hints.holders.size() > hints.settings.max_prefixes * 9 / 10) {
        hints.holders.erase(hints.holders.begin());
    }
}

} // namespace

void record_cache_event(prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                        bool cached, core::steady_time now) {
    if (cached) {
        hints.holders[prefix][upstream] = now;
        if (hints.holders.size() > hints.settings.max_prefixes) {
            evict_entries(hints, now);
        }
        return;
    }
    const auto found = hints.holders.find(prefix);
    if (found == hints.holders.end()) {
        return;
    }
    found->second.erase(upstream);
    if (found->second.empty()) {
        hints.holders.erase(found);
    }
}

bool has_prefix(const prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                core::steady_time now) {
    const auto found = hints.holders.find(prefix);
    if (found == hints.holders.end()) {
        return false;
    }
    const auto holder = found->second.find(upstream);
    return holder != found->second.end() && now - holder->second < hints.settings.expiry;
}

} // namespace figspoke::policy
