#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace figspoke::cli {

/// Sends a request without a body to a node and parses its answer as JSON. Fails with `store_unavailable`
/// where the node cannot be reached and with `internal` where it answers with an error or without JSON.
core::result<nlohmann::json> get_json(const std::string& node, const std::string& target,
                                      const std::string& method = "GET");

} // namespace figspoke::cli
