#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

struct prefix_hint_settings {
    /// Age at which a hint expires unless a new event confirms it, since eviction events may be lost.
    std::chrono::seconds expiry{300};
    std::size_t max_prefixes = 100000;
};

/// Prefixes that upstreams are believed to have cached, according to their cache events.
struct prefix_hints {
    prefix_hint_settings settings;
    /// Time of the last event by prefix hash, then by upstream.
    std::map<std::string, std::map<std::string, core::steady_time>> holders;
};

/// Records that an upstream cached or evicted a prefix. A lost event only leaves a wrong hint, which costs a
/// cache miss.
void record_cache_event(prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                        bool cached, core::steady_time now);

/// Returns whether the upstream is believed to have cached the prefix.
bool has_prefix(const prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                core::steady_time now);

} // namespace figspoke::policy
