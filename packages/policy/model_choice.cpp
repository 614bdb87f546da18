#include "policy/model_choice.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

// Value of an answer of this quality whose first byte comes after `at`.
double answer_worth(double quality, double on_time, const model_choice_settings& settings) {
    return settings.answer_value * quality * (on_time + (1 - on_time) * settings.late_value);
}

double kept_worth(const model_situation& situation, double quality, core::milliseconds at,
                  core::milliseconds expected, const model_choice_settings& settings) {
    const auto left = situation.latency_target - at + expected;
    return answer_worth(quality, on_time_probability(expected, left, settings), settings);
}

// The value that other requests on the upstream lose.
double delay_cost(const model_terms& terms, const model_choice_settings& settings) {
    return settings.answer_value * (1 - settings.late_value) * terms.delayed;
}

struct best_step {
    double worth = 0;
    std::optional<std::size_t> next;
};

best_step best_after(const model_situation& situation, std::size_t answered, double quality,
                     std::size_t range, core::milliseconds at, core::milliseconds expected, int drops_left,
                     const model_choice_settings& settings);

// Expected value of an answer of a model whose confidence has these shares, with what may follow it.
// `at` is the time at which its head is expected. The cost of the tokens read is certain, the rest is due
// only if the answer is kept.
double worth_of_send(const model_situation& situation, std::size_t model, const confidence_shares& shares,
                     core::milliseconds sent, int drops_left, const model_choice_settings& settings) {
    const auto& terms = situation.terms[model];
    const auto expected = terms.expected + settings.base_time;
    double worth = -situation.read_share * terms.cost - delay_cost(terms, settings);
    for (std::size_t range = 0; range < confidence_ranges; ++range) {
        if (shares[range] > 0) {
            worth += shares[range] * best_after(situation, model, range_quality(range), range,
                                                sent + expected, expected, drops_left, settings)
                                         .worth;
        }
    }
    return worth;
}

best_step best_after(const model_situation& situation, std::size_t answered, double quality,
                     std::size_t range, core::milliseconds at, core::milliseconds expected, int drops_left,
                     const model_choice_settings& settings) {
    const double rest_cost = (1 - situation.read_share) * situation.terms[answered].cost;
    best_step best{kept_worth(situation, quality, at, expected, settings) - rest_cost, std::nullopt};
    if (drops_left <= 0) {
        return best;
    }
    for (auto larger = answered + 1; larger < situation.terms.size(); ++larger) {
        if (!situation.terms[larger].has_capacity) {
            continue;
        }
        const double worth =
            worth_of_send(situation, larger, situation.forecast.repeated[answered][larger][range], at,
                          drops_left - 1, settings);
        if (worth > best.worth) {
            best = {worth, larger};
        }
    }
    return best;
}

// Tries another model with a share of the draws, if it is expected to do nearly as well.
model_step explore(model_step best, const std::vector<double>& worths, const model_choice_settings& settings,
                   double draw) {
    std::vector<std::size_t> others;
    for (std::size_t model = 0; model < worths.size(); ++model) {
        if (model != best.model && worths[model] > 0 &&
            worths[model] >= settings.explored_worth * worths[best.model]) {
            others.push_back(model);
        }
    }
    if (others.empty() || draw >= settings.explored_share) {
        return best;
    }
    const auto pick = std::size_t(draw / settings.explored_share * double(others.size()));
    return {others[std::min(pick, others.size() - 1)], true};
}

} // namespace

std::vector<double> relative_costs(const std::vector<std::string>& models,
                                   const std::map<std::string, double>& costs) {
    std::vector<double> relative;
    const auto largest = models.empty() ? costs.end() : costs.find(models.back());
    for (std::size_t i = 0; i < models.size(); ++i) {
        const auto found = costs.find(models[i]);
        const bool known = largest != costs.end() && found != costs.end() && largest->second > 0;
        relative.push_back(known ? found->second / largest->second : double(i + 1) / double(models.size()));
    }
    return relative;
}

double on_time_probability(core::milliseconds expected, core::milliseconds left,
                           const model_choice_settings& settings) {
    if (expected.count() <= 0) {
        return left.count() >= 0 ? 1 : 0;
    }
    if (left.count() <= 0) {
        return 0;
    }
    const double ratio = double(expected.count()) / double(left.count());
    return 1 / (1 + std::pow(ratio, settings.time_steepness));
}

model_step first_model(const model_situation& situation, const model_choice_settings& settings, double draw) {
    std::vector<double> worths;
    for (std::size_t model = 0; model < situation.terms.size(); ++model) {
        worths.push_back(worth_of_send(situation, model, situation.forecast.first[model], situation.elapsed,
                                       situation.drops_left, settings));
    }
    const auto best = std::size_t(std::max_element(worths.begin(), worths.end()) - worths.begin());
    return explore({best, false}, worths, settings, draw);
}

std::optional<model_step> next_model(const model_situation& situation, std::size_t answered, int confidence,
                                     const model_choice_settings& settings, double draw) {
    if (answered >= situation.terms.size()) {
        return std::nullopt;
    }
    const auto range = confidence_range(confidence);
    const auto best = best_after(situation, answered, std::clamp(confidence, 0, 100) / 100.0, range,
                                 situation.elapsed, core::milliseconds(0), situation.drops_left, settings);
    if (!best.next) {
        return std::nullopt;
    }
    std::vector<double> worths(situation.terms.size(), 0);
    for (auto larger = answered + 1; larger < worths.size(); ++larger) {
        if (situation.terms[larger].has_capacity) {
            worths[larger] =
                worth_of_send(situation, larger, situation.forecast.repeated[answered][larger][range],
                              situation.elapsed, situation.drops_left - 1, settings);
        }
    }
    return explore({*best.next, false}, worths, settings, draw);
}

} // namespace figspoke::policy
