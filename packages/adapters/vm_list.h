#pragma once

#include "adapters/http_client.h"
#include "adapters/ports.h"

namespace figspoke::adapters {

/// Builds the port to the VM list over HTTP. `client` must outlive the port;
/// `timeout` bounds each call.
vm_list make_vm_list(http_client& client, const std::string& address, std::chrono::milliseconds timeout);

} // namespace figspoke::adapters
