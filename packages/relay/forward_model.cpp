#include "relay/forward_run.h"

#include <algorithm>

#include "policy/model_choice.h"
#include "policy/prefill.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Weight of the newest send in the averages of a service.
constexpr double newest_weight = 0.1;
// Tokens read cost this part of tokens generated.
constexpr double read_token_cost = 0.25;

void average(double& mean, double value) {
    mean += newest_weight * (value - mean);
}

} // namespace

std::string forward_run::first_model() {
    if (route_.models.empty() || !request_.any_model) {
        return {};
    }
    service_ = state::choose_service(route_, service_draw_);
    const auto step = policy::first_model(make_model_situation(), {}, draw(node_));
    const auto& model = route_.models.at(step.model);
    node_.metrics.add("relay_first_models_total", {{"route", route_.name}, {"model", model}});
    return model;
}

policy::model_situation forward_run::make_model_situation() const {
    policy::model_situation situation;
    situation.forecast = policy::make_forecast(node_.model_answers, {}, service_, route_.name, route_.models);
    const auto found = node_.routes->services.find(service_);
    const auto costs = policy::relative_costs(route_.models, found == node_.routes->services.end()
                                                                 ? std::map<std::string, double>()
                                                                 : found->second.model_costs);
    for (std::size_t i = 0; i < route_.models.size(); ++i) {
        auto terms = expected_terms(route_.models[i], costs[i]);
        if (i > 0) {
            // A model without samples isn't faster than a smaller one.
            terms.expected = std::max(terms.expected, situation.terms.back().expected);
            terms.delayed = std::max(terms.delayed, situation.terms.back().delayed);
        }
        situation.terms.push_back(terms);
    }
    situation.elapsed = core::to_ms(boot_now() - arrived_);
    situation.latency_target = route_.latency_target;
    situation.read_share = read_share();
    situation.drops_left = drops_left();
    return situation;
}

// Returns the terms of a model by the service's last sends.
policy::model_terms forward_run::expected_terms(const std::string& model, double cost) const {
    const auto found = node_.recent.find(service_);
    const auto recent = found == node_.recent.end() ? recent_sends{} : found->second;
    const double own =
        policy::prefill_ms(node_.prefill, model, recent.uncached_share * double(prompt_tokens()));
    policy::model_terms terms;
    terms.cost = cost;
    terms.expected = core::milliseconds(std::int64_t(recent.pending_ms + own));
    terms.delayed = delayed_requests(terms.expected);
    return terms;
}

// Returns how many other requests a send makes late: as many wait behind it as the waiting prefill holds of
// its own, and each of them is delayed by the latter.
double forward_run::delayed_requests(core::milliseconds expected) const {
    return core::to_seconds(expected) / std::max(core::to_seconds(route_.latency_target), 0.001);
}

double forward_run::read_share() const {
    const double read = read_token_cost * double(prompt_tokens());
    const double all = read + double(estimated_tokens() - prompt_tokens());
    return all > 0 ? read / all : 0;
}

// Returns how many answers may be dropped for another model, one that is being read included.
int forward_run::drops_left() const {
    const bool repeatable = route_.retry != state::retry_policy::at_most_once && !answer_started_;
    const auto budget = node_.budgets.find(service_);
    if (!repeatable ||
        (budget != node_.budgets.end() && !policy::may_repeat_optionally(budget->second, budget_settings(),
                                                                         node_.peers->size(), boot_now()))) {
        return 0;
    }
    const int attempts = history_.max_attempts - int(policy::attempts_used(history_)) - 1;
    return std::clamp(attempts, 0, int(route_.models.size()) - 1);
}

void forward_run::record_send_load() {
    if (model_.empty()) {
        return;
    }
    auto& recent = node_.recent[service_];
    average(recent.pending_ms, choice_.pending_ms);
    const double whole = policy::prefill_ms(node_.prefill, model_, double(prompt_tokens()));
    if (whole > 0) {
        const double share = std::min(choice_.own_prefill_ms / whole, 1.0);
        average(recent.uncached_share, share);
    }
}

// Answers after a failure tell nothing new: they are neither first ones nor replace one.
void forward_run::record_confidence(const answer_head& head) {
    if (model_.empty() || !head.confidence || head.status != 200) {
        return;
    }
    send_confidence_ = head.confidence;
    if (dropped_confidence_ && !answer_started_) {
        policy::record_repeated_answer(node_.model_answers, {}, service_, dropped_model_,
                                       *dropped_confidence_, sent_model_, *head.confidence);
    } else if (history_.sends.empty()) {
        policy::record_first_answer(node_.model_answers, {}, route_.name, sent_model_, *head.confidence);
    }
}

// Selects a larger model and drops the answer if that is expected to serve the caller better. Possible only
// while the caller has received nothing of the answer.
bool forward_run::drop_for_larger_model(const answer_head& head) {
    if (answer_started_ || model_.empty() || !head.confidence || head.status != 200 || !attempts_remain()) {
        return false;
    }
    const auto found = std::find(route_.models.begin(), route_.models.end(), model_);
    if (found == route_.models.end()) {
        return false;
    }
    const auto answered = std::size_t(found - route_.models.begin());
    auto situation = make_model_situation();
    const auto wanted = policy::next_model(situation, answered, *head.confidence, {}, draw(node_));
    if (!wanted) {
        return false;
    }
    // The averages say that a larger model is worth it; the upstream that would take the request decides.
    model_ = route_.models.at(wanted->model);
    const auto choice = choose_upstream();
    auto& terms = situation.terms.at(wanted->model);
    terms.expected = core::milliseconds(std::int64_t(choice.pending_ms + choice.own_prefill_ms));
    terms.delayed = delayed_requests(terms.expected);
    terms.has_capacity = !choice.id.empty();
    situation.elapsed = core::to_ms(boot_now() - arrived_);
    const auto next = policy::next_model(situation, answered, *head.confidence, {}, 1);
    const bool drop = terms.has_capacity && (wanted->explored || (next && next->model == wanted->model));
    if (!drop) {
        model_ = route_.models.at(answered);
        return false;
    }
    dropped_model_ = route_.models.at(answered);
    dropped_confidence_ = *head.confidence;
    expected_larger_ms_ = terms.expected.count();
    node_.metrics.add("relay_dropped_answers_total", {{"route", route_.name}, {"model", dropped_model_}});
    return true;
}

} // namespace figspoke::relay
