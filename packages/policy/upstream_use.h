#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/prefill.h"

namespace figspoke::policy {

/// The running requests of one or more nodes on an upstream.
struct upstream_use {
    int requests = 0;
    /// Prompt and output tokens of these requests.
    std::int64_t tokens = 0;
    /// Expected prefill time of the requests that have not received a byte yet, by rank.
    pending_by_rank pending{};
    /// Time since the upstream last sent a byte to one of the nodes; empty where it never did.
    std::optional<core::milliseconds> silence;
};

/// Adds `more` to `total`.
void add_use(upstream_use& total, const upstream_use& more);

} // namespace figspoke::policy
