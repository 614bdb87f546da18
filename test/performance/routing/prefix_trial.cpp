#include "performance/routing/prefix_trial.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/prefix_hints.h"
#include "policy/upstream_load.h"

namespace figspoke::trials {
namespace {

constexpr int slots = 8;

core::steady_time time_at(double seconds) {
    return core::steady_time(
        std::chrono::duration_cast<core::nanoseconds>(std::chrono::duration<double>(seconds + 60)));
}

struct waiting_request {
    std::size_t node = 0;
    std::string prefix;
    double decode_s = 0;
    double arrived_s = 0;
};

// An engine with slots, a queue and a cache of least recently used prefixes.
struct engine {
    int running = 0;
    std::queue<waiting_request> waiting;
    std::list<std::string> cache;
    double work_s = 0;
    policy::load_report report;
};

enum class event_kind { finished, cache_event };

struct event {
    double due_s = 0;
    event_kind kind = event_kind::finished;
    std::size_t upstream = 0;
    std::size_t node = 0;
    std::string prefix;
    bool cached = false;
    bool operator<(const event& other) const { return due_s > other.due_s; }
};

struct simulation {
    prefix_settings settings;
    std::mt19937_64 random;
    std::vector<engine> engines;
    std::vector<std::vector<policy::local_requests>> own;
    policy::prefix_hints hints;
    std::priority_queue<event> events;
    std::discrete_distribution<std::size_t> popularity;
    std::uint64_t event_number = 0;
    double next_report_s = 0;
    std::size_t turn = 0;
    double hits = 0;
    double with_prefix = 0;
    double waits_s = 0;
    double refused = 0;
};

std::string name_of(std::size_t upstream) {
    return "engine" + std::to_string(upstream);
}

double uniform(simulation& sim) {
    return std::uniform_real_distribution<double>()(sim.random);
}

void publish(simulation& sim, double now_s, std::size_t upstream, const std::string& prefix, bool cached) {
    if (++sim.event_number % sim.settings.event_gap != 0) {
        sim.events.push(
            {now_s + sim.settings.event_lag_s, event_kind::cache_event, upstream, 0, prefix, cached});
    }
}

bool use_cache(simulation& sim, double now_s, std::size_t upstream, const std::string& prefix) {
    auto& cache = sim.engines[upstream].cache;
    const auto found = std::find(cache.begin(), cache.end(), prefix);
    const bool hit = found != cache.end();
    if (hit) {
        cache.erase(found);
    }
    cache.push_front(prefix);
    publish(sim, now_s, upstream, prefix, true);
    if (cache.size() > sim.settings.cached) {
        publish(sim, now_s, upstream, cache.back(), false);
        cache.pop_back();
    }
    return hit;
}

void start(simulation& sim, double now_s, std::size_t upstream, const waiting_request& request) {
    auto& engine = sim.engines[upstream];
    ++engine.running;
    double work_s = request.decode_s;
    if (!request.prefix.empty()) {
        const bool hit = use_cache(sim, now_s, upstream, request.prefix);
        sim.with_prefix += 1;
        sim.hits += hit ? 1 : 0;
        // The prefix of a miss has to be computed first.
        work_s += hit ? 0.05 : 0.4;
    }
    engine.work_s += work_s;
    sim.waits_s += now_s - request.arrived_s;
    sim.events.push({now_s + work_s, event_kind::finished, upstream, request.node, "", false});
}

void finish(simulation& sim, const event& done) {
    auto& engine = sim.engines[done.upstream];
    --engine.running;
    policy::record_local_requests(sim.own[done.node][done.upstream], -1, time_at(done.due_s));
    if (!engine.waiting.empty()) {
        const auto next = engine.waiting.front();
        engine.waiting.pop();
        start(sim, done.due_s, done.upstream, next);
    }
}

// All engines report at once; the numbers are used until the next report and so lag by up to its period.
void report_loads(simulation& sim, double now_s) {
    for (auto& engine : sim.engines) {
        engine.report = {engine.running, static_cast<int>(engine.waiting.size()), time_at(now_s)};
    }
    sim.next_report_s = now_s + sim.settings.load_lag_s;
}

void advance(simulation& sim, double now_s) {
    while (!sim.events.empty() && sim.events.top().due_s <= now_s) {
        const auto due = sim.events.top();
        sim.events.pop();
        if (due.kind == event_kind::finished) {
            finish(sim, due);
        } else {
            policy::record_cache_event(sim.hints, name_of(due.upstream), due.prefix, due.cached,
                                       time_at(due.due_s));
        }
    }
    if (now_s >= sim.next_report_s) {
        report_loads(sim, now_s);
    }
}

std::vector<policy::upstream_candidate> candidates_of(const simulation& sim, std::size_t node, double now_s,
                                                      const std::string& prefix) {
    std::vector<policy::upstream_candidate> candidates;
    for (std::size_t i = 0; i < sim.engines.size(); ++i) {
        const auto& engine = sim.engines[i];
        policy::upstream_candidate candidate;
        candidate.name = name_of(i);
        candidate.failure_domain = std::to_string(i % 3);
        candidate.slots = slots;
        candidate.queue_limit = 64;
        if (sim.settings.knows_state) {
            candidate.load = engine.running + static_cast<int>(engine.waiting.size());
            candidate.prefix_hint =
                std::find(engine.cache.begin(), engine.cache.end(), prefix) != engine.cache.end();
        } else {
            candidate.load = policy::estimate_load(engine.report, sim.own[node][i]);
            candidate.prefix_hint = policy::has_prefix(sim.hints, candidate.name, prefix, time_at(now_s));
        }
        candidates.push_back(candidate);
    }
    return candidates;
}

void arrive(simulation& sim, double now_s) {
    const auto node = sim.random() % sim.settings.nodes;
    waiting_request request{node, "", std::lognormal_distribution<double>(0.5, 0.9)(sim.random), now_s};
    // One request in five is a quick question without a prefix to share.
    if (uniform(sim) < 0.8) {
        request.prefix = "prefix" + std::to_string(sim.popularity(sim.random));
    }
    policy::upstream_draws draws{uniform(sim), uniform(sim), sim.turn++};
    const auto decision =
        policy::choose_upstream(candidates_of(sim, node, now_s, request.prefix), sim.settings.choice,
                                {request.prefix, std::to_string(node % 3), {}}, draws);
    if (!decision) {
        sim.refused += 1;
        return;
    }
    const auto upstream = static_cast<std::size_t>(std::stoul(decision->name.substr(6)));
    policy::record_local_requests(sim.own[node][upstream], 1, time_at(now_s));
    if (sim.engines[upstream].running < slots) {
        start(sim, now_s, upstream, request);
    } else {
        sim.engines[upstream].waiting.push(request);
    }
}

simulation make_simulation(const prefix_settings& settings) {
    simulation sim;
    sim.settings = settings;
    sim.random.seed(settings.seed);
    sim.engines.resize(settings.upstreams);
    sim.own.assign(settings.nodes, std::vector<policy::local_requests>(settings.upstreams));
    std::vector<double> weights;
    for (std::size_t i = 0; i < settings.prefixes; ++i) {
        weights.push_back(std::pow(static_cast<double>(i + 1), -0.6));
    }
    sim.popularity = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
    return sim;
}

} // namespace

prefix_result run_prefix_trial(const prefix_settings& settings) {
    auto sim = make_simulation(settings);
    double now_s = 0;
    for (int i = 0; i < settings.requests; ++i) {
        now_s += std::exponential_distribution<double>(settings.rate)(sim.random);
        advance(sim, now_s);
        arrive(sim, now_s);
    }
    double sum = 0;
    double peak = 0;
    for (const auto& engine : sim.engines) {
        sum += engine.work_s;
        peak = std::max(peak, engine.work_s);
    }
    return {sim.hits / sim.with_prefix, peak * static_cast<double>(sim.engines.size()) / sum,
            sim.waits_s / settings.requests, sim.refused / settings.requests};
}

} // namespace figspoke::trials
