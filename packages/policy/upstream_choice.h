#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace figspoke::policy {

/// How an upstream is chosen; `round_robin` is a baseline.
enum class upstream_policy { affinity, round_robin };

/// An upstream that serves the wanted version or service, with its state as known to this node.
struct upstream_candidate {
    std::string name;
    std::string failure_domain;
    int slots = 1;
    /// Requests that may wait at the upstream in addition to those in its slots.
    int queue_limit = 0;
    /// Estimated number of requests at the upstream; see `estimate_load`.
    int load = 0;
    /// Whether its health state allows a request.
    bool usable = true;
    /// Whether cache events say that it has cached the request's prefix. Only a hint: events arrive late and
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
    /// Largest load per slot of an upstream, relative to the mean load per slot.
    double load_bound = 1.25;
    /// Load per slot by which an upstream in this node's failure domain may exceed one elsewhere and still be
    /// preferred.
    double domain_preference = 0.1;
};

/// Uniform random numbers in [0, 1) for the two choices, and the counter for `round_robin`.
struct upstream_draws {
    double first = 0;
    double second = 0;
    std::size_t round_robin_index = 0;
};

/// How an upstream was chosen.
enum class upstream_reason { prefix_owner, prefix_cached, prefix_overflow, two_choices, round_robin };

/// The chosen upstream and what the decision log records about it.
struct upstream_decision {
    std::string name;
    upstream_reason reason = upstream_reason::two_choices;
    int load = 0;
    /// Numbers of eligible upstreams and, by cause, of excluded ones.
    int eligible = 0;
    int unusable = 0;
    int full = 0;
    int tried = 0;
};

/// Chooses an upstream for a request. Where no candidate is eligible, it fails with `overloaded` if at least
/// one is full, and with `no_capacity` otherwise.
core::result<upstream_decision> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                                const upstream_settings& settings,
                                                const upstream_request& request, const upstream_draws& draws);

/// Returns the name of a reason in the decision log.
std::string_view to_string(upstream_reason value);

} // namespace figspoke::policy
