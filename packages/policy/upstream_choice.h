#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace figspoke::policy {

/// How an upstream is chosen; `round_robin` is a baseline.
enum class upstream_policy { affinity, round_robin };

/// What a node knows of one upstream that serves the wanted version or service.
struct upstream_candidate {
    std::string name;
    std::string failure_domain;
    int slots = 1;
    /// Requests that may wait at the upstream beyond its slots.
    int queue_limit = 0;
    /// Estimated requests on the upstream; see `estimate_load`.
    int load = 0;
    /// Whether its health allows a request.
    bool usable = true;
    /// Whether a cache event says that it holds the request's prefix. A hint only: events are late and
    /// have gaps.
    bool prefix_hint = false;
};

struct upstream_request {
    /// Hash of version and prompt prefix; empty where there is none to reuse.
    std::string prefix;
    /// Failure domain of this node.
    std::string failure_domain;
    /// Upstreams that this request has tried already.
    std::vector<std::string> tried;
};

struct upstream_settings {
    upstream_policy policy = upstream_policy::affinity;
    /// Largest load of an upstream relative to the mean load per slot.
    double load_bound = 1.25;
    /// Extra load per slot that an upstream of the node's own failure domain may have and still be preferred.
    double domain_preference = 0.1;
};

/// Random numbers in [0, 1) and the counter of the baseline.
struct upstream_draws {
    double first = 0;
    double second = 0;
    std::size_t turn = 0;
};

enum class upstream_reason { prefix_owner, prefix_cached, prefix_overflow, two_choices, round_robin };

/// The chosen upstream and what a decision log line says about it.
struct upstream_decision {
    std::string name;
    upstream_reason reason = upstream_reason::two_choices;
    int load = 0;
    /// Upstreams that could take the request, and those passed over by cause.
    int considered = 0;
    int unusable = 0;
    int full = 0;
    int tried = 0;
};

/// Chooses an upstream among those that serve the wanted version. Fails with `no_capacity` where none is
/// usable and with `overloaded` where all usable ones are full.
core::result<upstream_decision> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                                const upstream_settings& settings,
                                                const upstream_request& request, const upstream_draws& draws);

/// Returns the name of a reason as the decision log writes it.
std::string_view to_string(upstream_reason value);

} // namespace figspoke::policy
