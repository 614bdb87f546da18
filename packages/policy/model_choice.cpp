#include "policy/model_choice.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// An answer with a lower opinion of itself goes to the largest model. On calm days of two deployments 30 and
// 50 served about equally well, and 70 filled the engines with repeats.
constexpr int least_confidence = 42;

} // namespace

std::size_t first_model_index(std::size_t /*models*/) {
    return 0;
}

std::optional<std::size_t> larger_model_index(const std::vector<std::string>& models,
                                              const std::string& answered, int confidence) {
    const auto found = std::find(models.begin(), models.end(), answered);
    if (found == models.end() || found + 1 == models.end() || confidence >= least_confidence) {
        return std::nullopt;
    }
    return models.size() - 1;
}

} // namespace figspoke::policy
