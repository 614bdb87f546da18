#pragma once

#include <vector>

#include <boost/asio/spawn.hpp>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Applies the operator's orders as they stand in the store in `era`: a new order starts a roll-out, and a
/// removed order ends its roll-out. An order that stands in another copy of the store, or was written again
/// after the store came back from one, continues its roll-out.
void update_rollout_orders(relay_state& node, const std::vector<rollout_order>& orders,
                           const state::store_era& era);

/// Merges a peer's record of a roll-out. A final state never changes.
void merge_rollout_record(relay_state& node, const rollout_record& record);

/// Returns the states of this node's roll-outs for its heartbeats.
std::vector<rollout_record> rollout_records(const relay_state& node);

/// Merges the request counts that processes reported for a roll-out.
void merge_trial_records(relay_state& node, const std::vector<trial_record>& records);

/// Returns the known request counts of processes whose latest report is at most `lifetime` old.
std::vector<trial_record> trial_records(const relay_state& node, core::milliseconds lifetime);

/// Evaluates the roll-outs by the counts of all nodes and sets their shares. Every node does so, so that each
/// stops using a bad version at once, no matter which node writes the state.
void update_rollouts(relay_state& node);

/// Writes the states of roll-outs to the store. The first live member does so, and the next ones if it fails.
/// Writes are conditional on the revision, so that a late writer can't overwrite newer state.
void write_rollout_states(relay_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::relay
