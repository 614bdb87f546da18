#pragma once

#include <chrono>
#include <optional>
#include <string>

#include "adapters/http_types.h"
#include "core/config.h"
#include "core/error.h"
#include "core/time.h"

namespace figspoke::node {

/// Who asks, and how the work is to be done, as the request's headers say.
struct caller {
    core::client_account account;
    core::priority priority = core::priority::normal;
    /// Least expected pass rate of the answer, 0 to 1.
    double quality = 0.8;
    std::chrono::milliseconds deadline{60000};
    core::steady_time expires_at;
    /// Empty where the caller gave none.
    std::string idempotency_key;
    std::string conversation_token;
    std::string task = "general";
    std::string request_id;
};

/// Finds the client account of the request's API key and reads the request's headers.
/// Fails with `unauthorized`, `not_allowed` or `bad_request`, naming the header.
core::result<caller> read_caller(const adapters::http_request& request, const core::config_snapshot& config,
                                 std::chrono::milliseconds default_deadline, core::steady_time now);

} // namespace figspoke::node
