#pragma once

#include <string>

#include "adapters/http_server.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Serves `POST /v1/orders/<service>`: runs at most once for each client account and idempotency key.
void serve_order(node_state& node, adapters::http_exchange& exchange, const std::string& service);

/// Serves `POST /v1/services/<service>`: an idempotent call, repeated elsewhere where an upstream fails.
void serve_lookup(node_state& node, adapters::http_exchange& exchange, const std::string& service);

} // namespace figspoke::node
