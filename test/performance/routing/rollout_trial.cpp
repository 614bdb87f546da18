#include "performance/routing/rollout_trial.h"

#include <algorithm>
#include <array>
#include <limits>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "policy/rollout.h"

namespace figspoke::trials {
namespace {

using policy::version_evidence;

constexpr double never = std::numeric_limits<double>::infinity();
constexpr double table_write_s = 0.1;
constexpr double check_detects = 0.6;
constexpr double check_false_alarm = 0.05;
const std::array<const char*, 3> tasks = {"chat", "code", "quote"};
constexpr std::array<double, 3> pass_rates = {0.92, 0.88, 0.85};

struct outcome {
    double due_s = 0;
    std::size_t node = 0;
    policy::evidence_key key;
    policy::outcome_counts counts;
    bool bad = false;
    bool operator<(const outcome& other) const { return due_s > other.due_s; }
};

struct message {
    double due_s = 0;
    std::size_t to = 0;
    version_evidence evidence;
    bool operator<(const message& other) const { return due_s > other.due_s; }
};

struct node_state {
    version_evidence evidence;
    policy::sequential_test_state test;
    double stops_at_s = never;
};

struct simulation {
    rollout_settings settings;
    std::mt19937_64 random;
    core::config_snapshot config;
    std::vector<node_state> nodes;
    std::priority_queue<outcome> outcomes;
    std::priority_queue<message> messages;
    bool bad_seen = false;
    bool detected = false;
    std::uint64_t next_id = 0;
    rollout_result result;
};

core::steady_time time_at(double seconds) {
    return core::steady_time(
        std::chrono::duration_cast<core::nanoseconds>(std::chrono::duration<double>(seconds + 1)));
}

double uniform(simulation& sim) {
    return std::uniform_real_distribution<double>()(sim.random);
}

core::config_snapshot rollout_config() {
    core::config_snapshot config;
    for (const auto* const id : {"model@1", "model@2"}) {
        core::model_version version;
        version.id = id;
        version.model = "model";
        version.quality = 0.88;
        version.rollout_percent = version.id == "model@1" ? 90 : 10;
        config.versions[id] = version;
    }
    return config;
}

policy::outcome_counts draw_outcome(simulation& sim, bool turned, double pass_rate) {
    double fails = 0.01;
    double passes = pass_rate;
    if (turned) {
        const auto kind = sim.settings.kind;
        fails = kind == bad_kind::fails_all ? 1 : (kind == bad_kind::fails_half ? 0.5 : fails);
        passes = kind == bad_kind::wrong_answers ? 0.2 : passes;
    }
    policy::outcome_counts counts;
    if (uniform(sim) < fails) {
        counts.failed = 1;
        return counts;
    }
    counts.answered = 1;
    const bool passed = uniform(sim) < passes;
    counts.flagged = uniform(sim) < (passed ? check_false_alarm : check_detects) ? 1 : 0;
    (passed ? counts.rated_passed : counts.rated_failed) = 1;
    return counts;
}

void push_outcome(simulation& sim, std::size_t node, const policy::evidence_key& key,
                  policy::outcome_counts counts, bool bad, double end_s) {
    policy::outcome_counts rating;
    std::swap(rating.rated_passed, counts.rated_passed);
    std::swap(rating.rated_failed, counts.rated_failed);
    sim.outcomes.push({end_s, node, key, counts, bad && counts.failed + counts.flagged > 0});
    if (counts.answered > 0 && uniform(sim) < sim.settings.rating_sample) {
        const double lag =
            std::exponential_distribution<double>(1 / sim.settings.mean_rating_lag_s)(sim.random);
        sim.outcomes.push({end_s + lag, node, key, rating, bad && rating.rated_failed > 0});
    }
}

void arrive(simulation& sim, double at_s) {
    const auto node = sim.random() % sim.nodes.size();
    const auto task = sim.random() % tasks.size();
    std::vector<const core::model_version*> candidates;
    for (const auto& entry : sim.config.versions) {
        if (entry.first == "model@1" || at_s < sim.nodes[node].stops_at_s) {
            candidates.push_back(&entry.second);
        }
    }
    const auto& id = policy::choose_rollout_version(
                         std::to_string(sim.next_id++) + "/" + std::to_string(sim.settings.seed), candidates)
                         ->id;
    const bool is_new = id == "model@2";
    const bool turned = is_new && sim.settings.kind != bad_kind::none && at_s >= sim.settings.turns_bad_s;
    sim.result.served += is_new ? 1 : 0;
    sim.result.exposed += turned ? 1 : 0;
    const auto counts = draw_outcome(sim, turned, pass_rates.at(task));
    const double duration = std::lognormal_distribution<double>(0.4, 0.7)(sim.random);
    push_outcome(sim, node, {id, tasks.at(task)}, counts, turned, at_s + duration);
}

void add(policy::outcome_counts& into, const policy::outcome_counts& counts) {
    into.answered += counts.answered;
    into.failed += counts.failed;
    into.flagged += counts.flagged;
    into.rated_passed += counts.rated_passed;
    into.rated_failed += counts.rated_failed;
}

void receive(simulation& sim, double now_s) {
    while (!sim.outcomes.empty() && sim.outcomes.top().due_s <= now_s) {
        const auto& due = sim.outcomes.top();
        add(sim.nodes[due.node].evidence.sources["node" + std::to_string(due.node)][due.key], due.counts);
        sim.bad_seen = sim.bad_seen || due.bad;
        sim.outcomes.pop();
    }
    while (!sim.messages.empty() && sim.messages.top().due_s <= now_s) {
        const auto& due = sim.messages.top();
        policy::merge_evidence(sim.nodes[due.to].evidence, due.evidence);
        sim.messages.pop();
    }
}

// One node in seven is behind a link with a delay of a second.
void gossip(simulation& sim, double now_s) {
    for (std::size_t from = 0; from < sim.nodes.size(); ++from) {
        const auto name = "node" + std::to_string(from);
        version_evidence own;
        own.sources[name] = sim.nodes[from].evidence.sources[name];
        for (std::size_t to = 0; to < sim.nodes.size(); ++to) {
            const double delay = (from % 7 == 6 || to % 7 == 6) ? 1.0 : 0.02 + 0.18 * uniform(sim);
            if (to != from) {
                sim.messages.push({now_s + delay, to, own});
            }
        }
    }
}

// The table write takes effect at the other nodes within the propagation time of a table change.
void stop(simulation& sim, std::size_t detector, double now_s) {
    sim.detected = true;
    for (std::size_t i = 0; i < sim.nodes.size(); ++i) {
        const double push = i % 7 == 6 ? 1.0 : 0.05 + 0.45 * uniform(sim);
        sim.nodes[i].stops_at_s = i == detector ? now_s : now_s + table_write_s + push;
    }
}

void step_tests(simulation& sim, double now_s) {
    for (std::size_t i = 0; i < sim.nodes.size() && !sim.detected; ++i) {
        auto& node = sim.nodes[i];
        const auto stops = policy::update_sequential_test(node.test, sim.settings.test, sim.config,
                                                          node.evidence, time_at(now_s));
        if (!sim.settings.knows_bad && !stops.empty()) {
            stop(sim, i, now_s);
        }
    }
    if (sim.settings.knows_bad && sim.bad_seen && !sim.detected) {
        stop(sim, 0, now_s);
    }
}

bool is_over(const simulation& sim, double now_s) {
    return sim.detected && std::all_of(sim.nodes.begin(), sim.nodes.end(),
                                       [&](const node_state& node) { return node.stops_at_s <= now_s; });
}

} // namespace

rollout_result run_rollout_trial(const rollout_settings& settings) {
    simulation sim;
    sim.settings = settings;
    sim.random.seed(settings.seed);
    sim.config = rollout_config();
    sim.nodes.resize(settings.nodes);
    std::exponential_distribution<double> gap(settings.rate);
    double next_arrival = gap(sim.random);
    double next_gossip = 0;
    for (double now = 0; now < settings.horizon_s && !is_over(sim, now); now += settings.step_s) {
        for (; next_arrival <= now; next_arrival += gap(sim.random)) {
            arrive(sim, next_arrival);
        }
        receive(sim, now);
        if (now >= next_gossip) {
            gossip(sim, now);
            next_gossip += settings.gossip_s;
        }
        step_tests(sim, now);
    }
    sim.result.stopped = sim.detected;
    return sim.result;
}

} // namespace figspoke::trials
