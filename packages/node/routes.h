#pragma once

#include "adapters/http_server.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Serves one HTTP request of a caller or an operator.
void serve_request(node_state& node, adapters::http_exchange& exchange);

} // namespace figspoke::node
