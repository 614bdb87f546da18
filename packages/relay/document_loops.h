#pragma once

#include <boost/asio/spawn.hpp>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Reads a shared document from the store whenever no news of it came from peers, until the process ends.
void run_document_loop(relay_state& node, document_kind kind, const boost::asio::yield_context& yield);

/// Judges a peer's claim about a document; fetches newer content from that peer.
void handle_claim(relay_state& node, document_kind kind, const state::document_claim& claim,
                  const state::clock_echo& echo, const state::member_entry& peer);

/// This node's claim about a document, for its beats.
state::document_claim own_claim(const relay_state& node, document_kind kind);

/// Path under which nodes serve a document to each other.
std::string document_path(document_kind kind);

} // namespace figspoke::relay
