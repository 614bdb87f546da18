#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "core/error.h"

namespace figspoke::policy {

struct retry_settings {
    /// Retries per request. Each node limits its own retries, so the whole fleet keeps the same ratio.
    double ratio = 0.1;
    /// Largest balance, in retries; bounds the burst when many upstreams fail at once.
    double max_balance = 20;
    /// Attempts per request, including the first.
    int max_attempts = 3;
};

/// Token bucket that limits the retries of this node.
struct retry_budget {
    /// Retries that the budget allows now.
    double balance = 0;
};

/// The failed attempt that may be retried, and its request.
struct failed_attempt {
    core::error_kind failure = core::error_kind::upstream_failed;
    bool idempotent = false;
    /// Attempts so far, including the failed one.
    int attempts = 1;
    /// Time until the request's deadline; empty means unlimited.
    std::optional<std::chrono::milliseconds> time_left;
    /// Expected duration of another attempt.
    std::chrono::milliseconds expected{0};
};

/// Whether a failed attempt is retried, or why not.
enum class retry_decision {
    retry,
    not_retryable,
    not_idempotent,
    already_ran,
    too_late,
    attempts_used,
    no_budget
};

/// Adds the retries that one caller's request earns to the budget.
void record_request(retry_budget& budget, const retry_settings& settings);

/// Decides whether a failed attempt is retried on another upstream, and if so takes a retry from the budget.
/// A request that isn't idempotent is never retried, not even if it did not run.
retry_decision decide_retry(retry_budget& budget, const retry_settings& settings,
                            const failed_attempt& attempt);

/// Returns the name of a value in the decision log.
std::string_view to_string(retry_decision value);

} // namespace figspoke::policy
