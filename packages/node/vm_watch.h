#pragma once

namespace figspoke::node {

struct node_state;

/// Starts reading the platform's VM list, where the settings name one: VMs that left it no longer count as
/// members, and this node stops gracefully when its own VM is leaving.
void start_vm_watch(node_state& node);

} // namespace figspoke::node
