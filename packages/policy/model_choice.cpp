#include "policy/model_choice.h"

#include <algorithm>

namespace figspoke::policy {

std::size_t first_model_index(std::size_t /*models*/) {
    return 0;
}

std::optional<std::size_t> escalation_model_index(const std::vector<std::string>& models,
                                                  const std::string& answered) {
    const auto found = std::find(models.begin(), models.end(), answered);
    if (found == models.end() || found + 1 == models.end()) {
        return std::nullopt;
    }
    return models.size() - 1;
}

double escalation_threshold(const escalation_input& input, const model_choice_settings& settings) {
    const double target = std::max(core::to_seconds(input.latency_target), 0.001);
    const double fraction = core::to_seconds(input.elapsed + input.expected) / target;
    const double scale = (settings.no_escalation_from - fraction) /
                         (settings.no_escalation_from - settings.full_threshold_until);
    return settings.confidence_threshold * std::clamp(scale, 0.0, 1.0);
}

bool should_escalate(const escalation_input& input, const model_choice_settings& settings) {
    // Without capacity or budget for the larger model, a dropped answer could not be replaced and the request
    // would fail.
    return input.has_capacity && input.within_budget &&
           input.confidence < escalation_threshold(input, settings);
}

} // namespace figspoke::policy
