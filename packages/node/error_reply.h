#pragma once

#include <string>
#include <vector>

#include "adapters/http_types.h"
#include "core/error.h"
#include "core/error_json.h"

namespace figspoke::node {

using core::render_error;

/// Builds the whole HTTP answer for an error.
adapters::http_reply error_reply(const core::error& cause, const std::vector<std::string>& addresses = {});

/// Builds a 200 answer with a JSON body.
adapters::http_reply json_reply(std::string body);

/// Builds the answer for an error that the HTTP server itself found in a request.
adapters::http_reply protocol_error_reply(int status, std::string_view what);

} // namespace figspoke::node
