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

/// What callers and the platform's checks may ask for beside requests. Their paths and fields are the
/// platform's.
struct directory_port {
    /// Answers a question for addresses; empty where the request is something else.
    std::function<std::optional<adapters::http_reply>(const adapters::http_request&,
                                                      const std::vector<std::string>& addresses,
                                                      core::milliseconds validity)>
        answer_lookup;
    /// Returns the caller's place in a question for addresses, for a stable spread.
    std::function<std::string(const adapters::http_request&)> caller_of;
    /// Answers a readiness check; empty where the request is something else.
    std::function<std::optional<adapters::http_reply>(const adapters::http_request&, bool ready)>
        answer_readiness;
};

/// Builds the platform port over the node's own event loop.
using platform_builder = std::function<platform_port(boost::asio::io_context&)>;

/// Runs a relay node until SIGTERM or SIGINT and ends the process. `reload` reads the settings again at
/// SIGHUP; an error keeps those in use. Throws where an address can't be bound.
[[noreturn]] void run_relay_node(const core::relay_settings& settings, const wire_protocol& protocol,
                                 const platform_builder& platform, const directory_port& directory,
                                 const std::function<core::result<core::relay_settings>()>& reload);

} // namespace figspoke::relay
