#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/http_server.h"

namespace figspoke::standins {

/// Where a stand-in listens.
struct listen_options {
    int port = 0;
    std::string port_file;
    int threads = 2;
};

/// What one stand-in does with its requests.
struct standin_role {
    adapters::http_handler serve;
    std::function<nlohmann::json()> read_control;
    /// Returns the error where a field is unknown or malformed.
    std::function<std::optional<std::string>(const nlohmann::json&)> apply_control;
    std::function<nlohmann::json()> counts;
    std::function<bool()> is_down;
    /// Called once on SIGTERM, before running requests are awaited.
    std::function<void()> on_stop;
    /// Longest time that running requests are awaited after SIGTERM.
    std::chrono::milliseconds stop_grace{0};
};

/// Serves the role on loopback until SIGTERM or SIGINT and returns the exit code.
int run_standin(const listen_options& options, const standin_role& role);

} // namespace figspoke::standins
