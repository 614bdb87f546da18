#pragma once

#include <cstdint>
#include <optional>

#include "core/time.h"
#include "policy/upstream_load.h"

namespace figspoke::policy {

/// Load that an upstream stated in an answer, and this node's own part of it at that moment.
struct stated_load {
    load_statement statement;
    int own_requests = 0;
    core::steady_time at{};
};

struct stated_load_settings {
    /// Age at which a statement counts as much as what peers have told. It is short: requests start and end
    /// within tens of milliseconds, and many nodes act on the same statement.
    core::milliseconds half_life{100};
    /// Age from which a statement says nothing.
    core::milliseconds lifetime{1000};
};

/// Estimates the requests of other nodes on an upstream, between the number that peers have told and the one
/// that the upstream stated, by the age of the statement. A statement adds at most one full upstream to what
/// peers have told, so that a wrong one doesn't take it out of use.
int estimate_peer_requests(int told_by_peers, const std::optional<stated_load>& stated,
                           const stated_load_settings& settings, core::steady_time now);

} // namespace figspoke::policy
