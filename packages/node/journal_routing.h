#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "node/journal_service.h"
#include "state/membership.h"

namespace figspoke::node {

struct node_state;

/// Returns the member that owns a shard, as far as this node knows.
std::optional<state::member_entry> find_shard_owner(node_state& node, std::uint32_t shard);

/// Appends an entry at the shard's owner, which may be another node. The callback is called exactly once,
/// with fate `unknown` where no clear answer came in time; the same entry may then be sent again.
void append_at_owner(node_state& node, std::uint32_t shard, state::journal_entry entry,
                     append_callback callback);

/// Appends an entry and repeats it until its fate is known or the time is over.
append_outcome await_append(node_state& node, std::uint32_t shard, const state::journal_entry& entry,
                            std::chrono::milliseconds timeout, const boost::asio::yield_context& yield);

/// Serves an append that a peer forwarded; `reply` gets the encoded outcome.
void serve_append(node_state& node, const std::string& body, const std::function<void(std::string)>& reply);

/// Takes over and gives up shards after a change of membership. Only the gossip loop may call it.
void update_owned_shards(node_state& node);

} // namespace figspoke::node
