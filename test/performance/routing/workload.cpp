#include "performance/routing/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <random>

#include "core/hash.h"

namespace figspoke::trials {
namespace {

struct model_row {
    const char* version;
    std::int64_t price;
    double prior;
    double tokens_per_s;
    double percent;
    /// Mean pass rate of each task kind before drift.
    std::array<double, 5> pass;
};

// The priors are the operators' guesses: one number a version, off by up to 0.4 for single task kinds.
const std::array<model_row, 7> models = {{
    {"nano@1", 1000, 0.75, 120, 100, {0.86, 0.90, 0.78, 0.45, 0.35}},
    {"mini@1", 1800, 0.80, 100, 100, {0.90, 0.94, 0.88, 0.60, 0.55}},
    {"coder@1", 3000, 0.75, 80, 100, {0.85, 0.92, 0.80, 0.91, 0.60}},
    {"medium@1", 5000, 0.88, 60, 90, {0.94, 0.96, 0.92, 0.80, 0.78}},
    {"medium@2", 5000, 0.88, 60, 10, {0.95, 0.96, 0.93, 0.84, 0.82}},
    {"large@1", 10000, 0.92, 45, 100, {0.96, 0.97, 0.95, 0.92, 0.91}},
    {"max@1", 15000, 0.95, 35, 100, {0.975, 0.98, 0.96, 0.95, 0.955}},
}};

const model_row& row_of(const std::string& version) {
    return *std::find_if(models.begin(), models.end(),
                         [&](const auto& row) { return version == row.version; });
}

double sigmoid(double x) {
    return 1 / (1 + std::exp(-x));
}

// Logit whose mean over a standard normal difficulty is about `pass` (probit approximation).
double offset_for(double pass) {
    constexpr double widening = 1.18; // sqrt(1 + pi / 8)
    return std::log(pass / (1 - pass)) * widening;
}

// Slow drift of each pass rate, and one step: the coding model loses ground on code after 3,000 s.
double drift(std::uint64_t seed, std::size_t task, const std::string& version, double at_s) {
    constexpr double two_pi = 6.283185307179586;
    const double phase = uniform_of(seed, task, version + " phase");
    const double period = 3600 * (1 + 2 * uniform_of(seed, task, version + " period"));
    const double step = version == "coder@1" && task == 3 && at_s > 3000 ? -1.2 : 0;
    return 0.35 * std::sin(two_pi * (at_s / period + phase)) + step;
}

double lognormal(std::mt19937_64& random, double median, double sigma) {
    return median * std::exp(sigma * std::normal_distribution<double>()(random));
}

std::size_t pick_task(double draw) {
    const auto& kinds = task_kinds();
    for (std::size_t i = 0; i < kinds.size(); ++i) {
        draw -= kinds[i].share;
        if (draw < 0) {
            return i;
        }
    }
    return kinds.size() - 1;
}

trace_request next_request(std::mt19937_64& random, std::uint64_t id, double at_s) {
    std::uniform_real_distribution<double> uniform;
    trace_request request;
    request.id = id;
    request.at_s = at_s;
    request.task = pick_task(uniform(random));
    const auto& kind = task_kinds()[request.task];
    request.target = uniform(random) < 0.5 ? 0.8 : 0.9;
    request.difficulty = std::normal_distribution<double>()(random);
    request.prompt_tokens = 1 + static_cast<std::int64_t>(lognormal(random, kind.median_prompt, 1.2));
    const double expected = std::min(lognormal(random, kind.median_answer, 0.8), 4000.0);
    request.expected_answer = 1 + static_cast<std::int64_t>(expected);
    request.answer_tokens = 1 + static_cast<std::int64_t>(std::min(lognormal(random, expected, 0.4), 8000.0));
    request.deadline_s = uniform(random) < 0.25 ? 8 + 17 * uniform(random) : 240;
    request.stream = uniform(random) < 0.3;
    return request;
}

} // namespace

const std::vector<task_kind>& task_kinds() {
    static const std::vector<task_kind> kinds = {{"chat", 0.30, 0.50, 0.05, 200, 120},
                                                 {"extract", 0.20, 0.85, 0.02, 900, 60},
                                                 {"summarise", 0.20, 0.50, 0.05, 2500, 200},
                                                 {"code", 0.20, 0.80, 0.06, 500, 250},
                                                 {"quote", 0.10, 0.65, 0.08, 1500, 300}};
    return kinds;
}

core::config_snapshot cost_config() {
    core::config_snapshot config;
    core::client_account account;
    account.name = "acme";
    for (const auto& row : models) {
        core::model_version version;
        version.id = row.version;
        version.model = version.id.substr(0, version.id.find('@'));
        version.rollout_percent = row.percent;
        version.price_out = row.price;
        version.price_in = row.price / 4;
        version.quality = row.prior;
        version.tokens_per_s = row.tokens_per_s;
        account.allowed.push_back(version.id);
        config.versions[version.id] = version;
    }
    config.accounts[account.name] = account;
    return config;
}

std::vector<trace_request> make_trace(std::uint64_t seed, int requests, double rate) {
    std::mt19937_64 random(seed);
    std::vector<trace_request> trace;
    double at_s = 0;
    for (int i = 0; i < requests; ++i) {
        // One minute in ten is a burst of 1.5 times the rate.
        const double now_rate = std::fmod(at_s, 600) < 60 ? 1.5 * rate : rate;
        at_s += std::exponential_distribution<double>(now_rate)(random);
        trace.push_back(next_request(random, static_cast<std::uint64_t>(i), at_s));
    }
    return trace;
}

double true_pass(std::uint64_t seed, std::size_t task, const std::string& version, double at_s,
                 double difficulty) {
    return sigmoid(offset_for(row_of(version).pass.at(task)) + drift(seed, task, version, at_s) - difficulty);
}

double uniform_of(std::uint64_t seed, std::uint64_t a, const std::string& b) {
    const auto hash = core::stable_hash(std::to_string(seed) + ' ' + std::to_string(a) + ' ' + b);
    return static_cast<double>(hash >> 11U) / 9007199254740992.0; // 2^53
}

} // namespace figspoke::trials
