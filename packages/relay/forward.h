#pragma once

#include "relay/caller_connection.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// Serves one request of a caller: admits it, chooses upstreams, sends it and passes the answer on.
void forward_request(relay_state& node, caller_exchange& exchange);

} // namespace figspoke::relay
