#pragma once

#include <chrono>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

struct prefix_hint_settings {
    /// Events may be lost, so a hint that isn't confirmed ends.
    std::chrono::seconds expiry{300};
    std::size_t max_prefixes = 100000;
};

/// Which upstreams are believed to hold which prefixes, from their cache events.
struct prefix_hints {
    prefix_hint_settings settings;
    /// By prefix hash, then by upstream: the time of the last event.
    std::map<std::string, std::map<std::string, core::steady_time>> holders;
};

/// Records a cache event of an upstream. Gaps in the events only make hints wrong, which costs a cache miss.
void record_cache_event(prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                        bool cached, core::steady_time now);

/// Tells whether the upstream is believed to hold the prefix.
bool has_prefix(const prefix_hints& hints, const std::string& upstream, const std::string& prefix,
                core::steady_time now);

} // namespace figspoke::policy
