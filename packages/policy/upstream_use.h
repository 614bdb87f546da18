#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/prefill.h"

namespace figspoke::policy {

/// One node's own requests on an upstream.
struct upstream_use {
    int requests = 0;
    /// Prompt and output tokens of these requests.
    std::int64_t tokens = 0;
    /// Expected time to read the prompts of those that brought no byte yet, by rank.
    pending_by_rank pending{};
    /// Time since the upstream last sent a byte to this node; empty where it never did.
    std::optional<core::milliseconds> silence;
};

/// Adds the requests of one node to those of others.
void add_use(upstream_use& total, const upstream_use& more);

} // namespace figspoke::policy
