#pragma once

#include "adapters/http_client.h"
#include "adapters/ports.h"

namespace figspoke::adapters {

/// Builds the port to the weight store over HTTP. `client` must outlive the port;
/// `timeout` bounds each call.
weight_store make_weight_store(http_client& client, const std::string& address,
                               std::chrono::milliseconds timeout);

} // namespace figspoke::adapters
