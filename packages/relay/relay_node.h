#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "adapters/http_server.h"
#include "core/relay_settings.h"
#include "relay/document_source.h"
#include "relay/wire_protocol.h"

namespace figspoke::relay {

/// Handlers for address lookups and readiness checks, whose paths and fields the platform defines.
struct directory_port {
    /// Answers an address lookup; empty if the request is not one.
    std::function<std::optional<adapters::http_reply>(const adapters::http_request&,
                                                      const std::vector<std::string>& addresses,
                                                      core::milliseconds validity)>
        answer_lookup;
    /// Returns the caller's identity in an address lookup, so that each caller gets a stable choice of
    /// addresses.
    std::function<std::string(const adapters::http_request&)> caller_of;
    /// Answers a readiness check; empty if the request is not one.
    std::function<std::optional<adapters::http_reply>(const adapters::http_request&, bool ready)>
        answer_readiness;
};

/// Builds the platform port on the node's event loop.
using platform_builder = std::function<platform_port(boost::asio::io_context&)>;

/// Runs a relay node until SIGTERM or SIGINT, then exits the process. `reload` reads the settings again on
/// SIGHUP; on error the current ones stay in use. Throws if an address can't be bound.
[[noreturn]] void run_relay_node(const core::relay_settings& settings, const wire_protocol& protocol,
                                 const platform_builder& platform, const directory_port& directory,
                                 const std::function<core::result<core::relay_settings>()>& reload);

} // namespace figspoke::relay
