#pragma once

#include "adapters/http_client.h"
#include "adapters/ports.h"

namespace figspoke::adapters {

/// Builds the port to the rating service over HTTP. `client` must outlive the port;
/// `timeout` bounds each call.
rating_service make_rating_service(http_client& client, const std::string& address,
                                   std::chrono::milliseconds timeout);

} // namespace figspoke::adapters
