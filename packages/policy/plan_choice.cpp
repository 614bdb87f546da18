#include "policy/plan_choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

#include "policy/plan_candidates.h"

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 4> policy_names = {"least_cost", "always_best", "always_cheapest",
                                                          "fixed_cascade"};
constexpr std::array<std::string_view, 12> rejection_names = {
    "chosen",        "not_requested", "not_allowed", "withdrawn", "retiring",   "no_upstream",
    "other_version", "below_quality", "too_slow",    "dearer",    "not_pinned", "not_in_policy"};
constexpr std::array<std::string_view, 5> reason_names = {"cheapest_at_target", "best_below_target", "pinned",
                                                          "exploration", "baseline"};

using candidates = std::vector<plan_candidate>;

bool is_eligible(const plan_candidate& value) {
    return value.reason == rejection_reason::chosen;
}

bool is_direct(const plan_candidate& value) {
    return value.escalate_to.empty();
}

bool is_cheaper(const plan_candidate& a, const plan_candidate& b) {
    return a.cost != b.cost ? a.cost < b.cost : a.quality.lower_bound > b.quality.lower_bound;
}

// Returns the best candidate by `better` among the eligible ones that `accept` admits; null if there is none.
template <class Accept, class Better>
plan_candidate* find_best(candidates& plans, Accept accept, Better better) {
    plan_candidate* best = nullptr;
    for (auto& plan : plans) {
        if (is_eligible(plan) && accept(plan) && (best == nullptr || better(plan, *best))) {
            best = &plan;
        }
    }
    return best;
}

bool has_better_quality(const plan_candidate& a, const plan_candidate& b) {
    return a.quality.lower_bound != b.quality.lower_bound ? a.quality.lower_bound > b.quality.lower_bound
                                                          : a.cost < b.cost;
}

bool has_better_mean(const plan_candidate& a, const plan_candidate& b) {
    return a.quality.mean != b.quality.mean ? a.quality.mean > b.quality.mean : a.cost < b.cost;
}

// This baseline uses no ratings and takes the most expensive version for the best one.
plan_candidate* choose_fixed_cascade(candidates& plans) {
    auto* cheapest = find_best(plans, is_direct, is_cheaper);
    auto* most_expensive =
        find_best(plans, is_direct, [](const auto& a, const auto& b) { return a.cost > b.cost; });
    if (cheapest == nullptr) {
        return nullptr;
    }
    const auto is_pair = [&](const plan_candidate& plan) {
        return plan.version == cheapest->version && plan.escalate_to == most_expensive->version;
    };
    auto* cascade = find_best(plans, is_pair, is_cheaper);
    return cascade != nullptr ? cascade : most_expensive;
}

struct choice {
    plan_candidate* plan = nullptr;
    plan_reason reason = plan_reason::baseline;
};

choice choose_least_cost(candidates& plans, double target) {
    const auto meets = [&](const plan_candidate& plan) { return plan.quality.lower_bound >= target; };
    if (auto* plan = find_best(plans, meets, is_cheaper)) {
        return {plan, plan_reason::cheapest_at_target};
    }
    return {find_best(
                plans, [](const auto&) { return true; }, has_better_quality),
            plan_reason::best_below_target};
}

choice choose_by_policy(candidates& plans, const plan_settings& settings, const plan_request& request) {
    if (request.pinned_version) {
        return {find_best(plans, is_direct, is_cheaper), plan_reason::pinned};
    }
    switch (settings.policy) {
    case plan_policy::always_best:
        return {find_best(plans, is_direct, has_better_mean), plan_reason::baseline};
    case plan_policy::always_cheapest:
        return {find_best(plans, is_direct, is_cheaper), plan_reason::baseline};
    case plan_policy::fixed_cascade:
        return {choose_fixed_cascade(plans), plan_reason::baseline};
    case plan_policy::least_cost:
        break;
    }
    return choose_least_cost(plans, request.quality_target);
}

// Probability that the plan's pass rate is at least `bound`, with a normal posterior.
double probability_at_least(const quality_estimate& quality, double bound) {
    const double deviation = std::max(quality.standard_deviation, 1e-6);
    return 0.5 * std::erfc((bound - quality.mean) / deviation / std::sqrt(2.0));
}

// Expected gain from learning a version's pass rate. Where the chosen plan meets the target, it is the cost
// saved times the probability that the version meets the target too. Where no plan meets it, it is the cost
// of the chosen plan times the probability that the version is as good as that plan or meets the target.
double exploration_value(const plan_candidate& plan, const plan_settings& settings, const choice& current,
                         double target) {
    const bool uncertain = plan.quality.ratings < settings.min_ratings || plan.quality.drifting;
    if (!is_direct(plan) || &plan == current.plan || !uncertain) {
        return 0;
    }
    if (current.reason == plan_reason::best_below_target) {
        return current.plan->cost *
               probability_at_least(plan.quality, std::min(target, current.plan->quality.mean));
    }
    return std::max(0.0, current.plan->cost - plan.cost) * probability_at_least(plan.quality, target);
}

std::vector<double> exploration_values(const candidates& plans, const plan_settings& settings,
                                       const choice& current, double target) {
    std::vector<double> values;
    values.reserve(plans.size());
    for (const auto& plan : plans) {
        values.push_back(is_eligible(plan) ? exploration_value(plan, settings, current, target) : 0);
    }
    return values;
}

// Ratings are scarce, so requests with a large expected gain explore more often than those with a small one.
double scaled_exploration(const plan_settings& settings, double gain) {
    if (settings.average_gain <= 0) {
        return settings.exploration;
    }
    return settings.exploration * std::min(settings.max_exploration_boost, gain / settings.average_gain);
}

// Chooses a version to explore with a probability proportional to its exploration value.
choice choose_exploration(candidates& plans, const std::vector<double>& values, const choice& current,
                          double pick) {
    double remaining = pick * std::accumulate(values.begin(), values.end(), 0.0);
    for (std::size_t i = 0; i < plans.size(); ++i) {
        if (values[i] > 0 && remaining < values[i]) {
            return {&plans[i], plan_reason::exploration};
        }
        remaining -= values[i];
    }
    return current;
}

void set_rejection_reasons(candidates& plans, const choice& chosen, double target, bool is_baseline) {
    for (auto& plan : plans) {
        if (!is_eligible(plan) || &plan == chosen.plan) {
            continue;
        }
        if (is_baseline) {
            plan.reason = rejection_reason::not_in_policy;
        } else if (plan.quality.lower_bound < target) {
            plan.reason = rejection_reason::below_quality;
        } else {
            plan.reason = rejection_reason::dearer;
        }
    }
}

// Returns the cause that the caller can act on: the most specific rule that left no candidate.
core::error no_plan_error(const candidates& plans, const plan_request& request) {
    const auto any = [&](rejection_reason reason) {
        return std::any_of(plans.begin(), plans.end(), [&](const auto& p) { return p.reason == reason; });
    };
    const std::string of_model = request.model.empty() ? "" : " of model \"" + request.model + "\"";
    if (any(rejection_reason::too_slow)) {
        return {core::error_kind::deadline_unreachable,
                "no version" + of_model + " can answer within the deadline", std::nullopt};
    }
    if (any(rejection_reason::no_upstream)) {
        return {core::error_kind::no_capacity, "no upstream serves a version" + of_model, std::nullopt};
    }
    if (any(rejection_reason::withdrawn) || any(rejection_reason::retiring)) {
        return {core::error_kind::version_withdrawn, "every version" + of_model + " is withdrawn or retiring",
                std::nullopt};
    }
    if (any(rejection_reason::other_version)) {
        return {core::error_kind::no_capacity, "no version" + of_model + " takes new conversations",
                std::nullopt};
    }
    return {core::error_kind::not_allowed, "account \"" + request.account + "\" allows no version" + of_model,
            std::nullopt};
}

bool is_known_model(const plan_inputs& inputs, const std::string& model) {
    const auto& versions = inputs.config.versions;
    return std::any_of(versions.begin(), versions.end(), [&](const auto& entry) {
        return entry.first == model || entry.second.model == model;
    });
}

core::result<void> check_request(const plan_inputs& inputs, const plan_request& request) {
    if (inputs.config.accounts.count(request.account) == 0) {
        return core::fail(core::error_kind::not_found, "account \"" + request.account + "\" does not exist");
    }
    if (!request.pinned_version) {
        if (!request.model.empty() && !is_known_model(inputs, request.model)) {
            return core::fail(core::error_kind::not_found, "model \"" + request.model + "\" does not exist");
        }
        return {};
    }
    const auto found = inputs.config.versions.find(*request.pinned_version);
    if (found == inputs.config.versions.end() || found->second.state == core::version_state::withdrawn) {
        return core::fail(core::error_kind::version_withdrawn,
                          "version \"" + *request.pinned_version + "\" of this conversation is withdrawn");
    }
    return {};
}

plan_decision make_decision(const plan_inputs& inputs, const plan_settings& settings,
                            const plan_request& request, const choice& chosen, candidates plans) {
    plan_decision decision;
    decision.policy = settings.policy;
    decision.reason = chosen.reason;
    decision.version = chosen.plan->version;
    decision.escalate_to = chosen.plan->escalate_to;
    decision.quality = chosen.plan->quality;
    decision.quality_target = request.quality_target;
    decision.cost = chosen.plan->cost;
    decision.latency = chosen.plan->latency;
    decision.table_revision = inputs.config.revision;
    decision.candidates = std::move(plans);
    return decision;
}

template <class Enum, std::size_t N>
std::string_view name_of(const std::array<std::string_view, N>& names, Enum value) {
    return names.at(static_cast<std::size_t>(value));
}

} // namespace

core::result<plan_decision> choose_plan(const plan_inputs& inputs, const plan_settings& settings,
                                        const plan_request& request, const plan_draws& draws) {
    if (auto checked = check_request(inputs, request); !checked) {
        return tl::make_unexpected(checked.error());
    }
    auto plans = list_candidates(inputs, settings, request);
    auto chosen = choose_by_policy(plans, settings, request);
    if (chosen.plan == nullptr) {
        return tl::make_unexpected(no_plan_error(plans, request));
    }
    const bool is_baseline = chosen.reason == plan_reason::baseline;
    double gain = 0;
    if (!is_baseline && !request.pinned_version && request.may_explore) {
        const auto values = exploration_values(plans, settings, chosen, request.quality_target);
        gain = *std::max_element(values.begin(), values.end());
        if (draws.explore < scaled_exploration(settings, gain)) {
            chosen = choose_exploration(plans, values, chosen, draws.pick);
        }
    }
    set_rejection_reasons(plans, chosen, request.quality_target, is_baseline);
    auto decision = make_decision(inputs, settings, request, chosen, std::move(plans));
    decision.exploration_gain = gain;
    return decision;
}

std::string_view to_string(plan_policy value) {
    return name_of(policy_names, value);
}

std::string_view to_string(rejection_reason value) {
    return name_of(rejection_names, value);
}

std::string_view to_string(plan_reason value) {
    return name_of(reason_names, value);
}

std::optional<plan_policy> parse_plan_policy(std::string_view name) {
    const auto* const found = std::find(policy_names.begin(), policy_names.end(), name);
    if (found == policy_names.end()) {
        return std::nullopt;
    }
    return static_cast<plan_policy>(found - policy_names.begin());
}

} // namespace figspoke::policy
