#pragma once

#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Reads a shared document from the store whenever peers have sent no recent confirmation of it, until the
/// process ends.
void run_document_loop(relay_state& node, document_kind kind, const boost::asio::yield_context& yield);

/// Asks peers for their copy of a document, so that a node that starts after the store has come back from an
/// older copy doesn't serve by that. Waits for at most one timeout, and not at all if no peer has the
/// document.
void fetch_first_document(relay_state& node, document_kind kind, std::vector<std::string> addresses,
                          const boost::asio::yield_context& yield);

/// Merges a peer's claim about a document, and fetches newer content from that peer.
void handle_claim(relay_state& node, document_kind kind, const state::document_claim& claim,
                  const state::clock_echo& echo, const state::member_entry& peer);

/// Records that the store has come back from an older copy: what was written to it since is gone, and writers
/// write again what they still need. `previous` is the highest position known before.
void handle_store_return(relay_state& node, const state::store_position& previous);

/// Returns this node's claim about a document, for its heartbeats.
state::document_claim own_claim(const relay_state& node, document_kind kind);

/// Returns the path under which nodes serve a document to each other.
std::string document_path(document_kind kind);

} // namespace figspoke::relay
