#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace figspoke::policy {

/// Ranges into which a model's confidence, 0 to 100, is divided.
inline constexpr std::size_t confidence_ranges = 10;

/// Number of answers by range of confidence.
using confidence_counts = std::array<float, confidence_ranges>;

struct model_evidence_settings {
    /// Answers that a row of counts stands for at most; older ones fade as newer ones are added.
    float max_answers = 200;
    /// Answers that the expectation for unknown models counts for.
    float prior_answers = 4;
    /// Weight of the answers in neighbouring ranges of the smaller model's confidence.
    float neighbour_weight = 0.5F;
    /// Bounds on the number of routes and of pairs of models. Further ones stay unknown.
    std::size_t max_routes = 256;
    std::size_t max_pairs = 256;
};

/// What answers said of their own quality. Answers the load of a fleet whose models differ in how many
/// requests they answer well, by kind of request and over time. Bounded, and held by each node for itself.
struct model_evidence {
    /// Confidence of first answers, by route and model.
    std::map<std::string, confidence_counts> first;
    /// Confidence of the answer that replaced another one, by service and both models and by the range of
    /// the replaced answer.
    std::map<std::string, std::array<confidence_counts, confidence_ranges>> repeated;
};

/// Returns the range of a confidence; values outside 0 to 100 count for the nearest one.
std::size_t confidence_range(int confidence);

/// Returns the middle of a range as a probability that the answer is good.
double range_quality(std::size_t range);

/// Records the confidence of a first answer.
void record_first_answer(model_evidence& evidence, const model_evidence_settings& settings,
                         const std::string& route, const std::string& model, int confidence);

/// Records the confidence of an answer that replaced one of another model to the same request.
void record_repeated_answer(model_evidence& evidence, const model_evidence_settings& settings,
                            const std::string& service, const std::string& replaced, int replaced_confidence,
                            const std::string& model, int confidence);

/// Expected shares of the ranges of confidence; they add up to 1.
using confidence_shares = std::array<double, confidence_ranges>;

/// What is expected of the models of a route, in its order.
struct model_forecast {
    /// By model: confidence of a first answer.
    std::vector<confidence_shares> first;
    /// By model, by larger model and by range: confidence of an answer that replaces one of that range.
    std::vector<std::vector<std::array<confidence_shares, confidence_ranges>>> repeated;
};

/// Returns what is expected of the models of a route, smallest first. Without answers the smallest model is
/// expected to be sure of as many requests as not, the largest to be sure of all, and one between them to
/// change nothing, so that requests start on the smallest and go on to the largest.
model_forecast make_forecast(const model_evidence& evidence, const model_evidence_settings& settings,
                             const std::string& service, const std::string& route,
                             const std::vector<std::string>& models);

} // namespace figspoke::policy
