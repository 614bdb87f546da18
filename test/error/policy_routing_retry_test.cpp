#include <doctest/doctest.h>

#include "policy/retry_budget.h"

using namespace figspoke;
using namespace figspoke::policy;
using namespace std::chrono_literals;

TEST_CASE("a request that is not idempotent or that ran is never retried") {
    // Guards against running a request twice, such as placing a second order, for every error kind.
    const retry_settings settings;
    for (int i = 0; i < core::error_kind_count; ++i) {
        const auto kind = static_cast<core::error_kind>(i);
        retry_budget budget{10};
        CHECK(decide_retry(budget, settings, {kind, false, 1, 10s, 1s}) != retry_decision::retry);
        const auto& answer = core::error_answer_for(kind);
        const auto verdict = decide_retry(budget, settings, {kind, true, 1, 10s, 1s});
        if (answer.execution == core::execution::ran || !answer.retry_after) {
            CHECK(verdict != retry_decision::retry);
        }
    }
}

TEST_CASE("retries stay within attempts, deadline and budget") {
    // Guards against retries that multiply the load of a failing fleet.
    const retry_settings settings;
    retry_budget budget;
    const auto failure = core::error_kind::upstream_failed;
    CHECK(decide_retry(budget, settings, {failure, true, 1, 10s, 1s}) == retry_decision::no_budget);
    for (int i = 0; i < 10; ++i) {
        record_request(budget, settings);
    }
    CHECK(decide_retry(budget, settings, {failure, true, 3, 10s, 1s}) == retry_decision::attempts_used);
    CHECK(decide_retry(budget, settings, {failure, true, 1, 1s, 1s}) == retry_decision::too_late);
    CHECK(decide_retry(budget, settings, {failure, true, 1, 10s, 1s}) == retry_decision::retry);
    CHECK(decide_retry(budget, settings, {failure, true, 1, 10s, 1s}) == retry_decision::no_budget);
}
