#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/config.h"

namespace figspoke::trials {

/// A task kind of the workload: the answer check's true rates and the lengths of its prompts and answers.
struct task_kind {
    std::string name;
    double share = 0;
    double check_detects = 0;
    double check_false_alarm = 0;
    double median_prompt = 0;
    double median_answer = 0;
};

/// One request of a trace. Random outcomes derive from `id`, so that all policies meet the same luck.
struct trace_request {
    std::uint64_t id = 0;
    double at_s = 0;
    std::size_t task = 0;
    double target = 0;
    /// Latent difficulty, standard normal. Models fail the same difficult prompts together.
    double difficulty = 0;
    std::int64_t prompt_tokens = 0;
    std::int64_t expected_answer = 0;
    std::int64_t answer_tokens = 0;
    double deadline_s = 0;
    bool stream = false;
};

/// The task kinds of the cost workload.
const std::vector<task_kind>& task_kinds();

/// The configuration of the cost workload: seven models at prices from 1 to 15, one of them in a rollout.
core::config_snapshot cost_config();

/// Returns a trace of heavy-tailed requests at a mean rate per second with bursts.
std::vector<trace_request> make_trace(std::uint64_t seed, int requests, double rate);

/// True chance that a version's answer passes at a time, for a prompt of the given difficulty.
double true_pass(std::uint64_t seed, std::size_t task, const std::string& version, double at_s,
                 double difficulty);

/// A uniform number in [0, 1) that depends on its arguments only.
double uniform_of(std::uint64_t seed, std::uint64_t a, const std::string& b);

} // namespace figspoke::trials
