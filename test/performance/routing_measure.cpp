#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <string>
#include <vector>

#include "performance/routing/cost_trial.h"
#include "performance/routing/prefix_trial.h"
#include "performance/routing/retry_trial.h"
#include "performance/routing/rollout_trial.h"

using namespace figspoke;
using namespace figspoke::trials;

namespace {

void print(const char* measure, double baseline, double value, double limit, const char* unit) {
    std::printf("measure=%s baseline=%.4g figspoke=%.4g limit=%.4g unit=%s\n", measure, baseline, value,
                limit, unit);
}

constexpr std::uint64_t cost_traces = 4;

// Mean of four traces, and the least margins: one trace alone varies by a tenth in cost.
cost_result cost_of(cost_settings settings, policy::plan_policy policy) {
    settings.plan.policy = policy;
    std::vector<std::future<cost_result>> runs;
    for (std::uint64_t i = 0; i < cost_traces; ++i) {
        runs.push_back(std::async(std::launch::async, run_cost_trial, settings));
        ++settings.seed;
    }
    cost_result sum;
    sum.margin = 1;
    sum.task_margin = 1;
    for (auto& run : runs) {
        const auto result = run.get();
        sum.cost += result.cost / cost_traces;
        sum.late += result.late / cost_traces;
        sum.explored += result.explored / cost_traces;
        sum.escalated += result.escalated / cost_traces;
        sum.margin = std::min(sum.margin, result.margin);
        sum.task_margin = std::min(sum.task_margin, result.task_margin);
    }
    return sum;
}

void measure_cost(std::uint64_t seed, int requests) {
    cost_settings settings;
    settings.seed = seed;
    settings.requests = requests;
    const auto own = cost_of(settings, policy::plan_policy::least_cost);
    const auto best = cost_of(settings, policy::plan_policy::always_best);
    const auto cheapest = cost_of(settings, policy::plan_policy::always_cheapest);
    const auto cascade = cost_of(settings, policy::plan_policy::fixed_cascade);
    settings.knows_rates = true;
    const auto limit = cost_of(settings, policy::plan_policy::least_cost);
    print("cost_at_quality", best.cost, own.cost, limit.cost, "micros_per_answer");
    print("cost_at_quality_fixed_cascade", cascade.cost, own.cost, limit.cost, "micros_per_answer");
    print("cost_quality_margin", best.margin, own.margin, limit.margin, "pass_rate_over_target");
    print("cost_quality_margin_fixed_cascade", cascade.margin, own.margin, limit.margin,
          "pass_rate_over_target");
    print("cost_quality_margin_always_cheapest", cheapest.margin, own.margin, limit.margin,
          "pass_rate_over_target");
    print("cost_task_margin", best.task_margin, own.task_margin, limit.task_margin, "pass_rate_over_target");
    print("cost_late_share", best.late, own.late, limit.late, "share");
    print("cost_explored_share", 0, own.explored, 0, "share");
    print("cost_escalated_share", cascade.escalated, own.escalated, limit.escalated, "share");
}

struct exposure {
    double mean = 0;
    double p95 = 0;
    double stopped = 0;
};

std::vector<rollout_result> run_rollouts(rollout_settings settings, int trials) {
    std::vector<rollout_result> results;
    for (int i = 0; i < trials; ++i) {
        results.push_back(run_rollout_trial(settings));
        ++settings.seed;
    }
    return results;
}

exposure exposure_of(rollout_settings settings, int trials) {
    constexpr int threads = 4;
    settings.seed *= 100000;
    std::vector<std::future<std::vector<rollout_result>>> runs;
    for (int i = 0; i < threads; ++i) {
        const int count = trials / threads;
        runs.push_back(std::async(std::launch::async, run_rollouts, settings, count));
        settings.seed += static_cast<std::uint64_t>(count);
    }
    std::vector<int> exposed;
    exposure result;
    for (auto& run : runs) {
        for (const auto& trial : run.get()) {
            exposed.push_back(trial.exposed);
            result.mean += trial.exposed;
            result.stopped += trial.stopped ? 1 : 0;
        }
    }
    std::sort(exposed.begin(), exposed.end());
    const auto count = static_cast<double>(exposed.size());
    return {result.mean / count, static_cast<double>(exposed[exposed.size() * 95 / 100]),
            result.stopped / count};
}

void measure_exposure(const std::string& name, bad_kind kind, std::uint64_t seed, int trials) {
    rollout_settings settings;
    settings.seed = seed;
    settings.kind = kind;
    const auto own = exposure_of(settings, trials);
    settings.knows_bad = true;
    const auto limit = exposure_of(settings, trials);
    settings.knows_bad = false;
    settings.test.threshold = 1e9;
    const auto baseline = exposure_of(settings, 4);
    print(("bad_version_exposure_" + name).c_str(), baseline.mean, own.mean, limit.mean, "requests_mean");
    print(("bad_version_exposure_" + name + "_p95").c_str(), baseline.p95, own.p95, limit.p95,
          "requests_p95");
    print(("bad_version_stopped_" + name).c_str(), 0, own.stopped, 1, "share");
}

// The steps are coarser than those of the exposure trials: the evidence is the same, in larger portions.
void measure_good_stops(std::uint64_t seed, int trials) {
    rollout_settings settings;
    settings.seed = seed;
    settings.step_s = 0.5;
    settings.gossip_s = 0.5;
    print("good_version_stopped", 0, exposure_of(settings, trials).stopped, 0, "share");
}

void measure_prefix(std::uint64_t seed) {
    prefix_settings settings;
    settings.seed = seed;
    const auto own = run_prefix_trial(settings);
    settings.knows_state = true;
    const auto limit = run_prefix_trial(settings);
    settings.knows_state = false;
    settings.choice.policy = policy::upstream_policy::round_robin;
    const auto baseline = run_prefix_trial(settings);
    print("prefix_hit_share", baseline.hit_share, own.hit_share, limit.hit_share, "share");
    print("prefix_peak_load", baseline.peak_load, own.peak_load, limit.peak_load, "of_mean");
    print("prefix_wait", 1000 * baseline.mean_wait_s, 1000 * own.mean_wait_s, 1000 * limit.mean_wait_s, "ms");
    print("prefix_refused", baseline.refused, own.refused, limit.refused, "share");
}

void measure_retries(std::uint64_t seed) {
    retry_trial_settings settings;
    settings.seed = seed;
    const auto own = run_retry_trial(settings);
    settings.knows_failures = true;
    const auto limit = run_retry_trial(settings);
    settings.knows_failures = false;
    settings.unbounded = true;
    const auto baseline = run_retry_trial(settings);
    print("retry_amplification", baseline.amplification, own.amplification, limit.amplification,
          "calls_per_request");
    print("retry_answered_share", baseline.answered, own.answered, limit.answered, "share");
}

} // namespace

int main(int argc, char** argv) {
    const std::string only = argc > 1 ? argv[1] : "all";
    const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1;
    if (only == "all" || only == "cost") {
        measure_cost(seed, 60000);
    }
    if (only == "all" || only == "exposure") {
        measure_exposure("fails_all", bad_kind::fails_all, seed, 200);
        measure_exposure("fails_half", bad_kind::fails_half, seed, 200);
        measure_exposure("wrong_answers", bad_kind::wrong_answers, seed, 200);
    }
    if (only == "all" || only == "good") {
        measure_good_stops(seed, 1000);
    }
    if (only == "all" || only == "prefix") {
        measure_prefix(seed);
    }
    if (only == "all" || only == "retry") {
        measure_retries(seed);
    }
    return 0;
}
