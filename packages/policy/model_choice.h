#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace figspoke::policy {

/// Returns the model that a request is sent to first, as an index into the models of a route, smallest first.
std::size_t first_model_index(std::size_t models);

/// Returns the larger model to ask instead, given the model that answered and its opinion of its answer from
/// 0 to 100; empty where the answer is kept.
std::optional<std::size_t> larger_model_index(const std::vector<std::string>& models,
                                              const std::string& answered, int confidence);

} // namespace figspoke::policy
