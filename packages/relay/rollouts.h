#pragma once

#include <vector>

#include <boost/asio/spawn.hpp>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Applies the operator's orders: a new order starts a roll-out, and a removed order ends its roll-out.
void note_rollout_orders(relay_state& node, const std::vector<rollout_order>& orders);

/// Merges a peer's record of a roll-out. A final state never changes.
void note_rollout_mark(relay_state& node, const rollout_mark& mark);

/// Returns the states of this node's roll-outs for its heartbeats.
std::vector<rollout_mark> rollout_marks(const relay_state& node);

/// Merges the request counts that processes reported for a roll-out.
void note_trial_marks(relay_state& node, const std::vector<trial_mark>& marks);

/// Returns the known request counts of processes whose latest report is at most `lifetime` old.
std::vector<trial_mark> trial_marks(const relay_state& node, core::milliseconds lifetime);

/// Evaluates the roll-outs by the counts of all nodes and sets their shares. Every node does so, so that each
/// stops using a bad version at once, no matter which node writes the state.
void step_rollouts(relay_state& node);

/// Writes the states of roll-outs to the store. The first live member does so, and the next ones if it fails.
/// Writes are conditional on the revision, so that a late writer can't overwrite newer state.
void drive_rollouts(relay_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::relay
