#pragma once

namespace figspoke::node {

struct node_state;

/// Sends what changed to the linked peers at once, without waiting for the next period.
void gossip_now(node_state& node);

/// Builds the mesh and starts the background work of the cluster: digests, the configuration table, the
/// roster, the VM list and the check for pauses. Throws `std::runtime_error` where the mesh can't listen.
void start_cluster(node_state& node);

} // namespace figspoke::node
