#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include "core/error.h"

namespace figspoke::policy {

struct retry_settings {
    /// Retries per request. Each node spends its own share only, so the fleet keeps the same ratio.
    double ratio = 0.1;
    /// Retries that may be saved up; bounds the burst when many upstreams fail at once.
    double max_saved = 20;
    /// Attempts of one request, the first included.
    int max_attempts = 3;
};

/// The retries that this node may still spend.
struct retry_budget {
    double saved = 0;
};

/// What is known of the failed attempt.
struct retry_question {
    core::error_kind failure = core::error_kind::upstream_failed;
    bool idempotent = false;
    /// Attempts so far.
    int attempts = 1;
    /// Time until the request's deadline; empty means unlimited.
    std::optional<std::chrono::milliseconds> time_left;
    /// Time that another attempt is expected to take.
    std::chrono::milliseconds expected{0};
};

enum class retry_verdict {
    retry,
    not_retryable,
    not_idempotent,
    already_ran,
    too_late,
    attempts_used,
    no_budget
};

/// Adds a caller's request to the budget.
void record_request(retry_budget& budget, const retry_settings& settings);

/// Tells whether a failed attempt may be repeated on another upstream, and takes the retry from the budget
/// where it may. Work that isn't idempotent is never repeated, not even where it did not run.
retry_verdict may_retry(retry_budget& budget, const retry_settings& settings, const retry_question& question);

/// Returns the verdict's name as the decision log writes it.
std::string_view to_string(retry_verdict value);

} // namespace figspoke::policy
