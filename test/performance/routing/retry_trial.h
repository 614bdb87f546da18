#pragma once

#include <cstdint>

#include "policy/retry_budget.h"
#include "policy/upstream_health.h"

namespace figspoke::trials {

struct retry_trial_settings {
    std::uint64_t seed = 1;
    std::size_t nodes = 7;
    std::size_t upstreams = 30;
    double rate = 100;
    double fails_from_s = 60;
    double fails_until_s = 180;
    double end_s = 240;
    policy::retry_settings retry;
    policy::health_settings health;
    /// Baseline: retries up to `max_attempts` without a budget and without ejection.
    bool unbounded = false;
    /// Never calls a failing upstream: the limit.
    bool knows_failures = false;
};

struct retry_result {
    /// Upstream calls per caller request while upstreams fail.
    double amplification = 0;
    /// Share of the requests in that time that got an answer.
    double answered = 0;
};

/// Runs health, upstream choice and retry budget of several nodes while a third of the upstreams fail.
retry_result run_retry_trial(const retry_trial_settings& settings);

} // namespace figspoke::trials
