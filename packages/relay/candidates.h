#pragma once

#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "policy/relay_choice.h"
#include "relay/relay_state.h"
#include "relay/restrictions.h"

namespace figspoke::relay {

/// Requirements of a request on its upstream.
struct upstream_requirements {
    std::string service;
    /// Empty for any.
    std::string model;
    /// The only version that may run the request, and a version that may not; empty for no restriction.
    std::string only_version;
    std::string excluded_version;
    std::int64_t tokens = 0;
    /// The segments of the prompt that other requests may share, and the number of tokens of the whole
    /// prompt.
    std::vector<policy::prompt_segment> shared;
    std::int64_t prompt_tokens = 0;
    int rank = 0;
    request_regions regions;
    /// Whether the request may probe an upstream that failed before.
    bool may_probe = true;
};

/// Returns the upstreams that match the requirements, with their load from all nodes. In a large fleet this
/// is a shortlist of untried upstreams whose load aggregators are queried first.
std::vector<policy::relay_candidate> relay_candidates(relay_state& node,
                                                      const upstream_requirements& requirements,
                                                      const policy::placement_request& placement,
                                                      const boost::asio::yield_context& yield);

/// Returns whether any upstream matches the requirements, be it restricted or not.
bool any_upstream_matches(const relay_state& node, const upstream_requirements& requirements);

/// Returns the use of an upstream by all nodes, from its load aggregator if that answered recently.
upstream_use total_use(const relay_state& node, const std::string& upstream);

/// Returns the settings for choosing an upstream of a service.
policy::relay_choice_settings choice_settings(const relay_state& node, const std::string& service);

} // namespace figspoke::relay
