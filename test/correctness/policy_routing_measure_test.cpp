#include <doctest/doctest.h>

#include "performance/routing/cost_trial.h"
#include "performance/routing/prefix_trial.h"
#include "performance/routing/retry_trial.h"
#include "performance/routing/rollout_trial.h"

using namespace figspoke;
using namespace figspoke::trials;

TEST_CASE("a short cost trial meets the quality target below half of always_best and the fixed cascade") {
    // Guards against a change of the plan choice that misses the quality target or no longer lowers the cost.
    cost_settings settings;
    settings.requests = 15000;
    const auto least_cost = run_cost_trial(settings);
    settings.plan.policy = policy::plan_policy::always_best;
    const auto best = run_cost_trial(settings);
    settings.plan.policy = policy::plan_policy::fixed_cascade;
    const auto cascade = run_cost_trial(settings);
    CHECK(least_cost.margin >= 0);
    CHECK(least_cost.cost <= 0.5 * best.cost);
    CHECK(least_cost.cost < cascade.cost);
    CHECK(least_cost.explored <= 0.02);
}

TEST_CASE("a version that turns bad is stopped within 40 requests and good ones go on") {
    // Guards against a sequential test that stops bad versions late or good versions at all.
    for (const auto kind : {bad_kind::fails_all, bad_kind::fails_half, bad_kind::wrong_answers}) {
        rollout_settings settings;
        settings.kind = kind;
        double exposed = 0;
        constexpr int trials = 10;
        for (int i = 0; i < trials; ++i) {
            ++settings.seed;
            const auto result = run_rollout_trial(settings);
            CHECK(result.stopped);
            exposed += result.exposed;
        }
        CHECK(exposed / trials <= 40);
    }
    rollout_settings good;
    good.step_s = 0.5;
    good.gossip_s = 0.5;
    good.horizon_s = 300;
    for (int i = 0; i < 10; ++i) {
        ++good.seed;
        CHECK_FALSE(run_rollout_trial(good).stopped);
    }
}

TEST_CASE("prefixes hit the cache three times as often as with round robin at an even load") {
    // Guards against prefix affinity that causes cache misses or overloads the upstreams that own prefixes.
    prefix_settings settings;
    settings.requests = 15000;
    const auto affinity = run_prefix_trial(settings);
    settings.choice.policy = policy::upstream_policy::round_robin;
    const auto baseline = run_prefix_trial(settings);
    CHECK(affinity.hit_share >= 3 * baseline.hit_share);
    CHECK(affinity.peak_load <= 1.25);
}

TEST_CASE("calls stay within 1.1 times the requests while a third of the upstreams fail") {
    // Guards against retries that multiply the load of a failing fleet.
    const auto result = run_retry_trial({});
    CHECK(result.amplification <= 1.1);
    CHECK(result.answered >= 0.95);
}
