#pragma once

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Divides the upstreams among the cells of the fleet anew. In a fleet of one cell every node uses all.
void plan_slices(relay_state& node);

/// Whether the upstream belongs to those that this node's cell uses.
bool in_own_slice(const relay_state& node, const std::string& upstream);

/// Number of nodes that use the upstream.
std::size_t sharers_of(const relay_state& node, const std::string& upstream);

} // namespace figspoke::relay
