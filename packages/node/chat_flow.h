#pragma once

#include "adapters/http_server.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Serves `POST /v1/chat/completions`.
void serve_chat(node_state& node, adapters::http_exchange& exchange);

} // namespace figspoke::node
