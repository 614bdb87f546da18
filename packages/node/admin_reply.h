#pragma once

#include "adapters/http_server.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Serves the operators' resources: `/healthz`, `/readyz`, `/metrics` and `/admin/...`. Returns false where
/// the request names none of them.
bool serve_operator(node_state& node, adapters::http_exchange& exchange);

} // namespace figspoke::node
