#pragma once

#include <boost/asio/spawn.hpp>

#include "adapters/http_server.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Starts a graceful stop: the node leaves `/v1/entry` at once, refuses new work after a few seconds,
/// finishes what runs, hands over its shards and ends. Calling it again changes nothing.
void begin_shutdown(node_state& node);

/// Waits for `begin_shutdown` and carries the stop out. Returns when the process may end.
void await_shutdown(node_state& node, adapters::http_server& server, const boost::asio::yield_context& yield);

} // namespace figspoke::node
