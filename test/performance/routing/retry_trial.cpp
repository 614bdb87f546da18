#include "performance/routing/retry_trial.h"

#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/upstream_choice.h"

namespace figspoke::trials {
namespace {

core::steady_time time_at(double seconds) {
    return core::steady_time(
        std::chrono::duration_cast<core::nanoseconds>(std::chrono::duration<double>(seconds + 1)));
}

struct request {
    std::size_t node = 0;
    bool idempotent = true;
    bool counted = false;
    double deadline_s = 0;
    int attempts = 0;
    std::vector<std::string> tried;
};

struct call_end {
    double due_s = 0;
    std::size_t upstream = 0;
    bool succeeded = true;
    core::error_kind failure = core::error_kind::upstream_failed;
    request of;
    bool operator<(const call_end& other) const { return due_s > other.due_s; }
};

struct node_state {
    policy::health_table health;
    policy::retry_budget budget;
    std::vector<int> in_flight;
};

struct simulation {
    retry_trial_settings settings;
    std::mt19937_64 random;
    std::vector<node_state> nodes;
    std::priority_queue<call_end> calls;
    double requests = 0;
    double attempts = 0;
    double answered = 0;
};

double uniform(simulation& sim) {
    return std::uniform_real_distribution<double>()(sim.random);
}

bool fails(const simulation& sim, std::size_t upstream, double now_s) {
    return upstream % 3 == 0 && now_s >= sim.settings.fails_from_s && now_s < sim.settings.fails_until_s;
}

std::vector<policy::upstream_candidate> candidates_of(const simulation& sim, const request& of,
                                                      double now_s) {
    std::vector<policy::upstream_candidate> candidates;
    const auto& state = sim.nodes[of.node];
    for (std::size_t i = 0; i < sim.settings.upstreams; ++i) {
        policy::upstream_candidate candidate;
        candidate.name = std::to_string(i);
        candidate.slots = 64;
        candidate.load = state.in_flight[i];
        candidate.usable = sim.settings.unbounded ||
                           (sim.settings.knows_failures ? !fails(sim, i, now_s)
                                                        : policy::is_usable(state.health, candidate.name,
                                                                            time_at(now_s), of.idempotent));
        candidates.push_back(candidate);
    }
    return candidates;
}

// Failing upstreams answer fast with an error, stop answering for a second, or refuse the work.
void call(simulation& sim, request of, double now_s) {
    const auto decision = policy::choose_upstream(candidates_of(sim, of, now_s), {}, {"", "", of.tried},
                                                  {uniform(sim), uniform(sim), 0});
    if (!decision) {
        return;
    }
    const auto upstream = static_cast<std::size_t>(std::stoul(decision->name));
    auto& node = sim.nodes[of.node];
    policy::record_dispatch(node.health, decision->name, time_at(now_s));
    ++node.in_flight[upstream];
    ++of.attempts;
    of.tried.push_back(decision->name);
    sim.attempts += of.counted ? 1 : 0;
    call_end end{now_s + std::lognormal_distribution<double>(-0.5, 0.8)(sim.random), upstream, true,
                 core::error_kind::upstream_failed, of};
    if (fails(sim, upstream, now_s)) {
        const double draw = uniform(sim);
        end.succeeded = false;
        end.due_s = now_s + (draw < 0.3 ? 1.0 : 0.02);
        end.failure = draw > 0.8 ? core::error_kind::upstream_refused : core::error_kind::upstream_failed;
    }
    sim.calls.push(end);
}

bool retries(simulation& sim, node_state& node, const call_end& end) {
    const policy::failed_attempt question{
        end.failure, end.of.idempotent, end.of.attempts,
        std::chrono::milliseconds(static_cast<std::int64_t>(1000 * (end.of.deadline_s - end.due_s))),
        std::chrono::milliseconds(500)};
    if (sim.settings.unbounded) {
        policy::retry_budget unlimited{1e9};
        return policy::decide_retry(unlimited, sim.settings.retry, question) == policy::retry_decision::retry;
    }
    return policy::decide_retry(node.budget, sim.settings.retry, question) == policy::retry_decision::retry;
}

void advance(simulation& sim, double now_s) {
    while (!sim.calls.empty() && sim.calls.top().due_s <= now_s) {
        const auto end = sim.calls.top();
        sim.calls.pop();
        auto& node = sim.nodes[end.of.node];
        --node.in_flight[end.upstream];
        policy::record_outcome(node.health, std::to_string(end.upstream), end.succeeded, time_at(end.due_s));
        if (end.succeeded) {
            sim.answered += end.of.counted ? 1 : 0;
        } else if (retries(sim, node, end)) {
            call(sim, end.of, end.due_s);
        }
    }
}

void arrive(simulation& sim, double now_s) {
    request of;
    of.node = sim.random() % sim.settings.nodes;
    of.idempotent = uniform(sim) < 0.95;
    of.deadline_s = now_s + 10;
    of.counted = now_s >= sim.settings.fails_from_s && now_s < sim.settings.fails_until_s;
    sim.requests += of.counted ? 1 : 0;
    policy::record_request(sim.nodes[of.node].budget, sim.settings.retry);
    call(sim, of, now_s);
}

} // namespace

retry_result run_retry_trial(const retry_trial_settings& settings) {
    simulation sim;
    sim.settings = settings;
    sim.random.seed(settings.seed);
    node_state node;
    node.health.settings = settings.health;
    node.in_flight.assign(settings.upstreams, 0);
    for (std::size_t i = 0; i < settings.upstreams; ++i) {
        node.health.upstreams[std::to_string(i)];
    }
    sim.nodes.assign(settings.nodes, node);
    for (double now = 0; now < settings.end_s;) {
        now += std::exponential_distribution<double>(settings.rate)(sim.random);
        advance(sim, now);
        arrive(sim, now);
    }
    advance(sim, settings.end_s + 60);
    return {sim.attempts / sim.requests, sim.answered / sim.requests};
}

} // namespace figspoke::trials
