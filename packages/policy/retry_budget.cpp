#include "policy/retry_budget.h"

#include <algorithm>
#include <array>

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 7> decision_names = {
    "retry", "not_retryable", "not_idempotent", "already_ran", "too_late", "attempts_used", "no_budget"};

// Another upstream can help only if the failure came from an upstream.
bool is_upstream_failure(core::error_kind kind) {
    return kind == core::error_kind::upstream_refused || kind == core::error_kind::upstream_failed ||
           kind == core::error_kind::stream_interrupted;
}

retry_decision decide_without_budget(const retry_settings& settings, const failed_attempt& attempt) {
    if (!is_upstream_failure(attempt.failure)) {
        return retry_decision::not_retryable;
    }
    if (!attempt.idempotent) {
        return retry_decision::not_idempotent;
    }
    // A request that ran is resumed after the part of its answer that was delivered, not repeated.
    if (core::error_answer_for(attempt.failure).execution == core::execution::ran) {
        return retry_decision::already_ran;
    }
    if (attempt.attempts >= settings.max_attempts) {
        return retry_decision::attempts_used;
    }
    if (attempt.time_left && *attempt.time_left <= attempt.expected) {
        return retry_decision::too_late;
    }
    return retry_decision::retry;
}

} // namespace

void record_request(retry_budget& budget, const retry_settings& settings) {
    budget.balance = std::min(settings.max_balance, budget.balance + settings.ratio);
}

retry_decision decide_retry(retry_budget& budget, const retry_settings& settings,
                            const failed_attempt& attempt) {
    const auto decision = decide_without_budget(settings, attempt);
    if (decision != retry_decision::retry) {
        return decision;
    }
    // The tolerance allows a retry after ten requests of 0.1, whose floating-point sum is just below 1.
    if (budget.balance < 1 - 1e-9) {
        return retry_decision::no_budget;
    }
    budget.balance -= 1;
    return retry_decision::retry;
}

std::string_view to_string(retry_decision value) {
    return decision_names.at(static_cast<std::size_t>(value));
}

} // namespace figspoke::policy
