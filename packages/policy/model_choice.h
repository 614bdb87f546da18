#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "policy/model_evidence.h"

namespace figspoke::policy {

struct model_choice_settings {
    /// Value of a good answer, as a multiple of the cost of the largest model's answer.
    double answer_value = 4;
    /// Part of the value that an answer after the latency target has.
    double late_value = 0.4;
    /// Steepness of the chance that an answer is on time, over the ratio of the time left to the expected
    /// time. Real times differ from expected ones by a factor of three to four.
    double time_steepness = 1.7;
    /// Time to the first byte that is expected in addition to waiting and prefill.
    core::milliseconds base_time{50};
    /// Share of choices that try another model, so that models are compared although one is preferred, and
    /// the part of the best expected value that such a model must have.
    double explored_share = 0.01;
    double explored_worth = 0.5;
};

/// What an answer of one model costs a request.
struct model_terms {
    /// Cost of an answer of this request's size, relative to the largest model's.
    double cost = 1;
    /// Time from the send to the first byte.
    core::milliseconds expected{0};
    /// Number of other requests that the request makes late, in answers of its own size.
    double delayed = 0;
    /// Whether an upstream of the model can take the request.
    bool has_capacity = true;
};

/// The situation in which a model is chosen. Answers the load of a fleet that is too busy, or a caller who
/// waits too short a time, for the largest model to answer all requests.
struct model_situation {
    /// Expectations and terms of the route's models, smallest first.
    model_forecast forecast;
    std::vector<model_terms> terms;
    /// Time since the request arrived.
    core::milliseconds elapsed{0};
    core::milliseconds latency_target{0};
    /// Part of an answer's cost that is lost when it is dropped at its head: that of the tokens read.
    double read_share = 0.5;
    /// Answers that may still be dropped: bounded by the attempts and the budget of repeats.
    int drops_left = 0;
};

/// Returns the costs of models relative to that of the largest; ranks stand for costs that aren't known.
std::vector<double> relative_costs(const std::vector<std::string>& models,
                                   const std::map<std::string, double>& costs);

/// Returns the chance that something expected to take `expected` takes at most `left`.
double on_time_probability(core::milliseconds expected, core::milliseconds left,
                           const model_choice_settings& settings);

/// A choice of a model by its index.
struct model_step {
    std::size_t model = 0;
    /// Whether the model was chosen to compare it, and not for its expected value.
    bool explored = false;
};

/// Returns the model that a request is sent to first: the one with the highest expected value, the smallest
/// among equals. `draw` is a random number in [0, 1).
model_step first_model(const model_situation& situation, const model_choice_settings& settings, double draw);

/// Returns the larger model that an answer is dropped for, or nothing if it is kept. `draw` is a random
/// number in [0, 1).
std::optional<model_step> next_model(const model_situation& situation, std::size_t answered, int confidence,
                                     const model_choice_settings& settings, double draw);

} // namespace figspoke::policy
