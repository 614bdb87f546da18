#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

struct model_choice_settings {
    /// An answer with a lower opinion of itself, from 0 to 100, is asked again of a larger model while that
    /// one answers well within the latency target. On calm days of two deployments 30 and 50 served about
    /// equally well, and 70 filled the engines with repeats.
    double line = 52;
    /// Part of the latency target up to which the larger model's first byte may be expected without a lower
    /// line, and part from which nothing is asked again. Under load a repeat delays the urgent work of others
    /// and comes late itself.
    double full_line_until = 0.15;
    double no_line_from = 0.9;
};

/// What is known when a model has answered.
struct escalation_question {
    /// The model's opinion of its answer, 0 to 100.
    int confidence = 0;
    /// Time since the request arrived, and expected time to the first byte of the larger model.
    core::milliseconds spent{0};
    core::milliseconds expected{0};
    core::milliseconds latency_target{0};
    /// Whether an upstream of the larger model has room, and the bound on repeats leaves one.
    bool has_room = true;
    bool within_budget = true;
};

/// Returns the model that a request is sent to first, as an index into the models of a route, smallest first.
std::size_t first_model_index(std::size_t models);

/// Returns the model to ask where an answer isn't trusted: the largest. Empty where none is larger.
std::optional<std::size_t> larger_model_index(const std::vector<std::string>& models,
                                              const std::string& answered);

/// Returns the confidence below which an answer is asked again of a larger model.
double escalation_line(const escalation_question& question, const model_choice_settings& settings);

/// Tells whether the larger model is asked.
bool should_escalate(const escalation_question& question, const model_choice_settings& settings);

} // namespace figspoke::policy
