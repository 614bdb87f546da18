#include <doctest/doctest.h>

#include "policy/token_bucket.h"
#include "policy/work_estimate.h"

using namespace figspoke;
using namespace figspoke::policy;

TEST_CASE("expected work follows the learned ratio of an account and task") {
    // Guards against estimates from the allowed tokens, which would refuse work that fits.
    generation_ratios ratios;
    core::model_version version;
    version.tokens_per_s = 50;
    version.first_token = std::chrono::milliseconds(200);
    const request_size size{"acme", "quote", 0, 1000};
    CHECK(expected_work(ratios, size, version) == doctest::Approx(0.2 + 500 / 50.0));
    for (int i = 0; i < 200; ++i) {
        record_generated_tokens(ratios, size, 100);
        record_generated_tokens(ratios, {"acme", "chat", 0, 1000}, 900);
    }
    CHECK(expected_tokens(ratios, size) == doctest::Approx(100).epsilon(0.4));
    CHECK(expected_tokens(ratios, {"acme", "chat", 0, 1000}) > 800);
    CHECK(expected_tokens(ratios, {"other", "quote", 0, 1000}) == doctest::Approx(500));
    for (int i = 0; i < 1000; ++i) {
        record_generated_tokens(ratios, {"acme", std::to_string(i), 0, 10}, 1);
    }
    CHECK(ratios.accounts.at("acme").tasks.size() <= 66);
}

TEST_CASE("a bucket never holds more than its rate times its depth") {
    // Guards against a burst above the capacity after an idle time, a rate change or a refund.
    core::steady_time now{std::chrono::hours(1)};
    token_bucket bucket{100, std::chrono::seconds(2), 0, now};
    CHECK_FALSE(try_take(bucket, 1, now));
    CHECK(*time_until(bucket, 50) == std::chrono::milliseconds(500));
    CHECK_FALSE(time_until(bucket, 201));
    now += std::chrono::seconds(60);
    CHECK(try_take(bucket, 200, now));
    CHECK_FALSE(try_take(bucket, 1, now));
    refund(bucket, 500, now);
    set_rate(bucket, 10, now);
    CHECK(bucket.level == doctest::Approx(20));
}
