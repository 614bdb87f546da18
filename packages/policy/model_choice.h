#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

struct model_choice_settings {
    /// Confidence, from 0 to 100, below which an answer is replaced by one of a larger model, while that
    /// model is expected to answer well within the latency target.
    // On calm days of two deployments 30 and 50 perform about equally; 70 fills the engines with repeats.
    double confidence_threshold = 52;
    /// Range in which the threshold falls linearly to 0, as fractions of the latency target: by the expected
    /// time from the request's arrival to the larger model's first byte.
    // Under load a repeat delays the urgent work of others and is late itself.
    double full_threshold_until = 0.15;
    double no_escalation_from = 0.9;
};

/// Input to the decision whether an answer is replaced by one of a larger model.
struct escalation_input {
    /// The model's confidence in its answer, 0 to 100.
    int confidence = 0;
    /// Time since the request arrived.
    core::milliseconds elapsed{0};
    /// Expected time from now to the first byte of the larger model.
    core::milliseconds expected{0};
    core::milliseconds latency_target{0};
    /// Whether an upstream of the larger model can take the request.
    bool has_capacity = true;
    /// Whether the bound on repeats allows another one.
    bool within_budget = true;
};

/// Returns the index of the model that a request is sent to first. `models` is the number of models of the
/// route, which are ordered from the smallest to the largest.
std::size_t first_model_index(std::size_t models);

/// Returns the index of the model that an answer of `answered` is escalated to: the largest. Empty where
/// `answered` is the largest or isn't listed.
std::optional<std::size_t> escalation_model_index(const std::vector<std::string>& models,
                                                  const std::string& answered);

/// Returns the confidence below which an answer is replaced by one of a larger model.
double escalation_threshold(const escalation_input& input, const model_choice_settings& settings);

/// Returns whether the answer is dropped and the request sent to the larger model.
bool should_escalate(const escalation_input& input, const model_choice_settings& settings);

} // namespace figspoke::policy
