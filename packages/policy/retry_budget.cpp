#include "policy/retry_budget.h"

#include <algorithm>
#include <array>

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 7> verdict_names = {
    "retry", "not_retryable", "not_idempotent", "already_ran", "too_late", "attempts_used", "no_budget"};

// Another upstream can only help where the failure came from an upstream.
bool comes_from_upstream(core::error_kind kind) {
    return kind == core::error_kind::upstream_refused || kind == core::error_kind::upstream_failed ||
           kind == core::error_kind::stream_interrupted;
}

retry_verdict verdict_before_budget(const retry_settings& settings, const retry_question& question) {
    if (!comes_from_upstream(question.failure)) {
        return retry_verdict::not_retryable;
    }
    if (!question.idempotent) {
        return retry_verdict::not_idempotent;
    }
    // Work that ran is resumed from what was delivered, not repeated.
    if (core::error_answer_for(question.failure).execution == core::execution::ran) {
        return retry_verdict::already_ran;
    }
    if (question.attempts >= settings.max_attempts) {
        return retry_verdict::attempts_used;
    }
    if (question.time_left && *question.time_left <= question.expected) {
        return retry_verdict::too_late;
    }
    return retry_verdict::retry;
}

} // namespace

void record_request(retry_budget& budget, const retry_settings& settings) {
    budget.saved = std::min(settings.max_saved, budget.saved + settings.ratio);
}

retry_verdict may_retry(retry_budget& budget, const retry_settings& settings,
                        const retry_question& question) {
    const auto verdict = verdict_before_budget(settings, question);
    if (verdict != retry_verdict::retry) {
        return verdict;
    }
    // The tolerance admits the retry after ten requests of 0.1, whose sum is just below 1.
    if (budget.saved < 1 - 1e-9) {
        return retry_verdict::no_budget;
    }
    budget.saved -= 1;
    return retry_verdict::retry;
}

std::string_view to_string(retry_verdict value) {
    return verdict_names.at(static_cast<std::size_t>(value));
}

} // namespace figspoke::policy
