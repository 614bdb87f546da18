#pragma once

#include "adapters/http_client.h"
#include "adapters/ports.h"

namespace figspoke::adapters {

/// Builds the port to the load reports and cache events of upstreams over HTTP. `client` must outlive the
/// port; `timeout` bounds each call.
upstream_reports make_upstream_reports(http_client& client, std::chrono::milliseconds timeout);

} // namespace figspoke::adapters
