#pragma once

#include <boost/asio/spawn.hpp>

namespace figspoke::node {

struct node_state;

/// Runs the sequential test over the evidence of all nodes. The node that is first among the serving members
/// withdraws versions that fail it, by compare-and-swap on the configuration table.
void stop_bad_versions(node_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::node
