#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

struct engine_memory_settings {
    /// Fraction of an engine's memory that requests may fill by estimate. Above it the engine preempts
    /// running requests and repeats their prefill, or crashes.
    double fill_limit = 0.9;
    /// Time for which memory stays granted to a node that doesn't report the request. It covers the wait for
    /// the replies, the decision and the report.
    core::milliseconds grant_lifetime{60};
    /// Grants kept for one upstream.
    std::size_t max_grants = 64;
};

/// Memory of engines that was granted to nodes which are about to choose, kept at an upstream's load
/// aggregator. Without it all nodes that ask within one exchange of messages find the same room.
struct memory_grants {
    struct grant {
        std::string node;
        std::int64_t tokens = 0;
        core::steady_time at{};
    };
    /// By upstream, oldest first.
    std::map<std::string, std::vector<grant>> upstreams;
};

/// Returns the tokens that a request is expected to hold at its end. The reserve beyond `fill_limit` covers
/// outputs that become longer than expected.
std::int64_t reserved_tokens(std::int64_t prompt, std::int64_t output);

/// Returns whether an engine that holds `used` tokens has memory for `wanted` more. An idle engine takes any
/// request: it refuses by itself what it can't hold. A capacity of zero is unknown.
bool has_engine_memory(const engine_memory_settings& settings, std::int64_t capacity, std::int64_t used,
                       std::int64_t wanted);

/// Records that a node is told of the room on an upstream for a request of its own.
void grant_memory(memory_grants& grants, const engine_memory_settings& settings, const std::string& upstream,
                  const std::string& node, std::int64_t tokens, core::steady_time now);

/// Removes the oldest grant of a node whose requests on the upstream have grown by one.
void settle_grant(memory_grants& grants, const std::string& upstream, const std::string& node);

/// Returns the tokens that are granted on an upstream and not settled yet.
std::int64_t granted_tokens(const memory_grants& grants, const engine_memory_settings& settings,
                            const std::string& upstream, core::steady_time now);

/// Removes grants whose lifetime has ended.
void expire_grants(memory_grants& grants, const engine_memory_settings& settings, core::steady_time now);

} // namespace figspoke::policy
