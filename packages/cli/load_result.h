#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cli/outcome.h"

namespace figspoke::cli {

/// How one request of a load run ended. Times count from the planned start, so that a request that started
/// late shows its wait.
struct request_result {
    std::string priority;
    /// Error kind of the answer, or `connect`, `broken_answer`, `timeout`, `connection_limit`; empty where
    /// the request was answered.
    std::string error;
    std::optional<std::chrono::microseconds> first_token;
    std::chrono::microseconds total{0};
    /// How often the request went to another node, since it was refused as not run or not sent.
    int moves = 0;
};

/// Renders counts, errors by kind and the percentiles of each priority.
outcome report_load(const std::vector<request_result>& results);

} // namespace figspoke::cli
