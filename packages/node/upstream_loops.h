#pragma once

namespace figspoke::node {

struct node_state;

/// Starts reading the load reports and cache events of the upstreams that this node uses.
void start_upstream_reports(node_state& node);

} // namespace figspoke::node
