#include "performance/routing/cost_trial.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <queue>
#include <vector>

#include "performance/routing/true_quality.h"
#include "performance/routing/workload.h"
#include "policy/exploration_budget.h"
#include "policy/plan_candidates.h"

namespace figspoke::trials {
namespace {

constexpr int slots_of_version = 120;
constexpr double load_report_lag_s = 1;

core::steady_time time_at(double seconds) {
    return core::steady_time(
        std::chrono::duration_cast<core::nanoseconds>(std::chrono::duration<double>(seconds + 1)));
}

// A rating, or an answer check without one.
struct pending_rating {
    double due_s = 0;
    std::size_t node = 0;
    policy::rating value;
    bool is_check = false;
    bool operator<(const pending_rating& other) const { return due_s > other.due_s; }
};

// One queue for all upstreams of a version: the times at which its slots become free.
struct version_queue {
    std::priority_queue<double, std::vector<double>, std::greater<>> free_at;
    double reported_wait = 0;
    double reported_at = -1;
    version_queue() {
        for (int i = 0; i < slots_of_version; ++i) {
            free_at.push(0);
        }
    }
};

struct simulation {
    cost_settings settings;
    core::config_snapshot config = cost_config();
    std::vector<policy::quality_evidence> evidence;
    std::vector<policy::exploration_budget> budgets;
    std::map<std::string, version_queue> queues;
    std::priority_queue<pending_rating> ratings;
    true_quality truth;
    double next_gossip_s = 0;
    /// By quality target, then by task kind.
    std::array<std::array<double, 5>, 2> passed{};
    std::array<std::array<double, 5>, 2> counted{};
    cost_result sums;
};

std::string source_of(std::size_t node) {
    return "node" + std::to_string(node) + "/1";
}

void exchange_reports(simulation& sim, double at_s) {
    for (std::size_t from = 0; from < sim.evidence.size(); ++from) {
        const auto report = policy::make_report(sim.evidence[from], source_of(from), time_at(at_s));
        for (std::size_t to = 0; to < sim.evidence.size(); ++to) {
            if (to != from && report.sequence > 0) {
                policy::merge_report(sim.evidence[to], report, time_at(at_s));
            }
        }
    }
}

void advance(simulation& sim, double at_s) {
    while (!sim.ratings.empty() && sim.ratings.top().due_s <= at_s) {
        const auto& due = sim.ratings.top();
        auto& evidence = sim.evidence[due.node];
        if (due.is_check) {
            policy::record_check(evidence, source_of(due.node), due.value.key, due.value.flagged,
                                 time_at(due.due_s));
        } else {
            policy::record_rating(evidence, source_of(due.node), due.value, time_at(due.due_s));
        }
        sim.ratings.pop();
    }
    if (at_s >= sim.next_gossip_s) {
        exchange_reports(sim, at_s);
        sim.next_gossip_s = at_s + sim.settings.gossip_s;
    }
}

std::map<std::string, policy::version_capacity> reported_capacity(simulation& sim, double at_s) {
    std::map<std::string, policy::version_capacity> capacity;
    for (const auto& entry : sim.config.versions) {
        auto& queue = sim.queues[entry.first];
        if (at_s >= queue.reported_at + load_report_lag_s) {
            queue.reported_wait = std::max(0.0, queue.free_at.top() - at_s);
            queue.reported_at = at_s;
        }
        capacity[entry.first] = {
            1, std::chrono::milliseconds(static_cast<std::int64_t>(1000 * queue.reported_wait))};
    }
    return capacity;
}

policy::plan_request plan_request_of(const trace_request& from) {
    policy::plan_request request;
    request.account = "acme";
    request.task = task_kinds()[from.task].name;
    request.rollout_key = std::to_string(from.id);
    request.quality_target = from.target;
    request.prompt_tokens = from.prompt_tokens;
    request.answer_tokens = from.expected_answer;
    request.deadline = std::chrono::milliseconds(static_cast<std::int64_t>(1000 * from.deadline_s));
    request.may_cascade = !from.stream;
    return request;
}

struct chosen_plan {
    std::string version;
    std::string escalate_to;
    bool explored = false;
};

// The same candidates as the policy's, judged by the true rates.
chosen_plan choose_knowing(simulation& sim, const policy::plan_inputs& inputs, const trace_request& from) {
    auto plans = policy::list_candidates(inputs, sim.settings.plan, plan_request_of(from));
    std::map<std::string, double> costs;
    for (const auto& plan : plans) {
        if (plan.escalate_to.empty()) {
            costs[plan.version] = plan.cost;
        }
    }
    const policy::plan_candidate* best = nullptr;
    for (auto& plan : plans) {
        if (plan.reason != policy::rejection_reason::chosen) {
            continue;
        }
        plan.quality = true_quality_of(sim.truth, from.task, plan.version, plan.escalate_to, from.at_s);
        if (!plan.escalate_to.empty()) {
            plan.cost = costs[plan.version] + plan.quality.escalated * costs[plan.escalate_to];
        }
        const bool meets = plan.quality.mean >= from.target;
        const bool best_meets = best != nullptr && best->quality.mean >= from.target;
        if (best == nullptr || (meets && (!best_meets || plan.cost < best->cost)) ||
            (!meets && !best_meets && plan.quality.mean > best->quality.mean)) {
            best = &plan;
        }
    }
    return best == nullptr ? chosen_plan{} : chosen_plan{best->version, best->escalate_to, false};
}

chosen_plan choose(simulation& sim, const trace_request& from, std::size_t node) {
    const auto capacity = reported_capacity(sim, from.at_s);
    const policy::plan_inputs inputs{sim.config, sim.evidence[node], capacity, time_at(from.at_s)};
    if (sim.settings.knows_rates) {
        return choose_knowing(sim, inputs, from);
    }
    const auto seed = sim.settings.seed;
    auto plan = sim.settings.plan;
    plan.exploration = policy::exploration_probability(sim.budgets[node]);
    plan.average_gain = sim.budgets[node].average_gain;
    const auto decision =
        policy::choose_plan(inputs, plan, plan_request_of(from),
                            {uniform_of(seed, from.id, "explore"), uniform_of(seed, from.id, "pick")});
    if (!decision) {
        return {};
    }
    const bool explored = decision->reason == policy::plan_reason::exploration;
    policy::record_plan(sim.budgets[node], explored, decision->exploration_gain);
    return {decision->version, decision->escalate_to, explored};
}

struct step_result {
    bool passed = false;
    bool flagged = false;
    double end_s = 0;
};

void add_rating(simulation& sim, const trace_request& from, std::size_t node, const policy::rating& value,
                double end_s) {
    const auto seed = sim.settings.seed;
    const auto salt = value.key.version + value.key.escalated_from;
    if (uniform_of(seed, from.id, salt + " sample") < sim.settings.rating_sample) {
        const double lag =
            -std::log(1 - uniform_of(seed, from.id, salt + " lag")) * sim.settings.mean_rating_lag_s;
        sim.ratings.push({end_s + lag, node, value, false});
    }
    sim.ratings.push({end_s, node, value, true});
}

step_result run_step(simulation& sim, const trace_request& from, std::size_t node, const std::string& id,
                     const std::string& escalated_from, double start_s) {
    const auto& version = sim.config.versions.at(id);
    const auto& kind = task_kinds()[from.task];
    const auto seed = sim.settings.seed;
    auto& queue = sim.queues[id];
    const double begin = std::max(start_s, queue.free_at.top());
    queue.free_at.pop();
    step_result result;
    result.end_s = begin + core::to_seconds(version.first_token) +
                   static_cast<double>(from.answer_tokens) / version.tokens_per_s;
    queue.free_at.push(result.end_s);
    result.passed =
        uniform_of(seed, from.id, id) < true_pass(seed, from.task, id, from.at_s, from.difficulty);
    const double flag_rate = result.passed ? kind.check_false_alarm : kind.check_detects;
    result.flagged = uniform_of(seed, from.id, id + " flag") < flag_rate;
    sim.sums.cost += (static_cast<double>(from.prompt_tokens) * static_cast<double>(version.price_in) +
                      static_cast<double>(from.answer_tokens) * static_cast<double>(version.price_out)) /
                     1000;
    add_rating(sim, from, node, {{kind.name, id, escalated_from}, result.flagged, result.passed},
               result.end_s);
    return result;
}

void serve(simulation& sim, const trace_request& from) {
    const auto node = static_cast<std::size_t>(uniform_of(sim.settings.seed, from.id, "node") *
                                               static_cast<double>(sim.evidence.size()));
    const std::size_t group = from.target > 0.85 ? 1 : 0;
    sim.counted.at(group).at(from.task) += 1;
    const auto plan = choose(sim, from, node);
    // A refusal counts as an answer that did not pass.
    if (plan.version.empty()) {
        sim.sums.late += 1;
        return;
    }
    auto result = run_step(sim, from, node, plan.version, "", from.at_s);
    if (!plan.escalate_to.empty() && result.flagged) {
        result = run_step(sim, from, node, plan.escalate_to, plan.version, result.end_s);
        sim.sums.escalated += 1;
    }
    const bool late = result.end_s - from.at_s > from.deadline_s;
    sim.sums.late += late ? 1 : 0;
    sim.sums.explored += plan.explored ? 1 : 0;
    sim.passed.at(group).at(from.task) += result.passed && !late ? 1 : 0;
}

constexpr std::array<double, 2> targets = {0.8, 0.9};

void set_margins(const simulation& sim, cost_result& result) {
    result.margin = 1;
    result.task_margin = 1;
    for (std::size_t group = 0; group < targets.size(); ++group) {
        const auto& passed = sim.passed.at(group);
        const auto& counted = sim.counted.at(group);
        const double all = std::accumulate(counted.begin(), counted.end(), 0.0);
        const double good = std::accumulate(passed.begin(), passed.end(), 0.0);
        result.quality += good / sim.settings.requests;
        result.margin = std::min(result.margin, good / all - targets.at(group));
        for (std::size_t task = 0; task < counted.size(); ++task) {
            result.task_margin =
                std::min(result.task_margin, passed.at(task) / counted.at(task) - targets.at(group));
        }
    }
}

} // namespace

cost_result run_cost_trial(const cost_settings& settings) {
    simulation sim;
    sim.settings = settings;
    sim.truth.seed = settings.seed;
    sim.evidence.resize(static_cast<std::size_t>(settings.nodes));
    sim.budgets.resize(sim.evidence.size());
    for (auto& evidence : sim.evidence) {
        evidence.settings = settings.evidence;
    }
    for (const auto& request : make_trace(settings.seed, settings.requests, settings.rate)) {
        advance(sim, request.at_s);
        serve(sim, request);
    }
    const double all = settings.requests;
    auto result = sim.sums;
    result.cost /= all;
    result.late /= all;
    result.explored /= all;
    result.escalated /= all;
    set_margins(sim, result);
    return result;
}

} // namespace figspoke::trials
