#pragma once

#include "relay/caller_connection.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// Serves a caller's request: admits it, chooses an upstream, sends the request and forwards the answer.
void forward_request(relay_state& node, caller_exchange& exchange);

} // namespace figspoke::relay
