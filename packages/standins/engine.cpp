#include "standins/engine.h"

#include <cstdlib>
#include <iostream>

namespace figspoke::standins {
namespace {

constexpr int crash_exit_code = 42;
constexpr std::size_t max_load_samples = 100000;

engine_control initial_control(const engine_options& options) {
    engine_control control;
    control.slots = options.slots;
    control.queue_limit = options.queue_limit;
    control.first_token_ms = options.first_token_ms;
    control.token_ms = options.token_ms;
    control.load_lag_ms = options.load_lag_ms;
    control.check_fencing = options.check_fencing;
    return control;
}

prefix_cache initial_cache(const engine_options& options) {
    prefix_cache cache;
    cache.capacity_bytes = static_cast<std::size_t>(options.cache_tokens) * bytes_per_token;
    return cache;
}

bool contains(const std::string& body, const std::string& text) {
    return !text.empty() && body.find(text) != std::string::npos;
}

} // namespace

engine::engine(const engine_options& options)
    : start(options), control(initial_control(options)),
      placement(engine_placement{0, options.versions, "mixed", false}), cache(initial_cache(options)),
      jobs({options.slots, options.queue_limit}) {}

void sample_load(engine& state) {
    load_sample sample;
    sample.at = std::chrono::steady_clock::now();
    sample.size = state.jobs.size();
    sample.cached_tokens =
        state.cache.with([](const prefix_cache& cache) { return cache.used_bytes / bytes_per_token; });
    const auto lag = std::chrono::milliseconds(
        state.control.with([](const engine_control& fields) { return fields.load_lag_ms; }));
    state.loads.with([&](std::deque<load_sample>& samples) {
        samples.push_back(sample);
        while (samples.size() > 1 &&
               (samples[1].at + lag <= sample.at || samples.size() > max_load_samples)) {
            samples.pop_front();
        }
    });
}

void crash_where_asked(engine& state, const std::string& body) {
    const auto control = state.control.copy();
    if (contains(body, control.crash_on)) {
        std::cout << R"({"event":"crash"})" << std::endl;
        std::_Exit(crash_exit_code);
    }
    if (contains(body, control.crash_reset)) {
        state.jobs.lose_all();
        state.cache.with([](prefix_cache& cache) { forget_prefixes(cache); });
    }
}

} // namespace figspoke::standins
