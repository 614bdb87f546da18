#pragma once

#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "policy/relay_choice.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// What a request needs of an upstream.
struct upstream_need {
    std::string service;
    /// Empty for any.
    std::string model;
    /// The only version that may run the request, and one that may not; empty for any.
    std::string only_version;
    std::string avoided_version;
    std::int64_t tokens = 0;
    /// The shared parts of the prompt, and all of its tokens.
    std::vector<policy::prompt_step> shared;
    std::int64_t prompt_tokens = 0;
    int rank = 0;
    /// Whether the request may test an upstream that failed before.
    bool may_probe = true;
};

/// Returns the upstreams that can take the request, with their load from all nodes. In a large fleet these
/// are a few that haven't been tried, whose keepers are asked first.
std::vector<policy::relay_candidate> relay_candidates(relay_state& node, const upstream_need& need,
                                                      const policy::relay_wish& wish,
                                                      const boost::asio::yield_context& yield);

/// Requests on an upstream from all nodes, by its keeper where it answered lately.
upstream_use total_use(const relay_state& node, const std::string& upstream);

/// The choice's settings for a service.
policy::relay_choice_settings choice_settings(const relay_state& node, const std::string& service);

} // namespace figspoke::relay
