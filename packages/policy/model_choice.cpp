#include "policy/model_choice.h"

namespace figspoke::policy {

std::size_t first_model_index(std::size_t models) {
    return models - 1;
}

std::optional<std::size_t> larger_model_index(const std::vector<std::string>& /*models*/,
                                              const std::string& /*answered*/, int /*confidence*/) {
    return std::nullopt;
}

} // namespace figspoke::policy
