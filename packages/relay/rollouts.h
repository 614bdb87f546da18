#pragma once

#include <vector>

#include <boost/asio/spawn.hpp>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Takes over the operator's orders. New ones begin a trial; orders that are gone end.
void note_rollout_orders(relay_state& node, const std::vector<rollout_order>& orders);

/// Takes over what a peer says of a roll-out: a final state is never left again.
void note_rollout_mark(relay_state& node, const rollout_mark& mark);

/// What this node says of its roll-outs.
std::vector<rollout_mark> rollout_marks(const relay_state& node);

/// Takes over what processes saw of a roll-out.
void note_trial_marks(relay_state& node, const std::vector<trial_mark>& marks);

/// What this node knows of processes that reported within `lifetime`.
std::vector<trial_mark> trial_marks(const relay_state& node, core::milliseconds lifetime);

/// Judges the roll-outs by the counts of all nodes and sets their shares. Runs on every node, so that a bad
/// version is left at once whoever drives.
void step_rollouts(relay_state& node);

/// Writes progress to the store. The first of the live members does it, the next ones where it fails to;
/// conditional writes fence late ones.
void drive_rollouts(relay_state& node, const boost::asio::yield_context& yield);

} // namespace figspoke::relay
