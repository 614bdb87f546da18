#include "policy/model_choice.h"

#include <algorithm>

namespace figspoke::policy {

std::size_t first_model_index(std::size_t /*models*/) {
    return 0;
}

std::optional<std::size_t> larger_model_index(const std::vector<std::string>& models,
                                              const std::string& answered) {
    const auto found = std::find(models.begin(), models.end(), answered);
    if (found == models.end() || found + 1 == models.end()) {
        return std::nullopt;
    }
    return models.size() - 1;
}

double escalation_line(const escalation_question& question, const model_choice_settings& settings) {
    const double target = std::max(core::to_seconds(question.latency_target), 0.001);
    const double part = core::to_seconds(question.spent + question.expected) / target;
    const double room = (settings.no_line_from - part) / (settings.no_line_from - settings.full_line_until);
    return settings.line * std::clamp(room, 0.0, 1.0);
}

bool should_escalate(const escalation_question& question, const model_choice_settings& settings) {
    // An answer that is dropped and can't be replaced is lost.
    return question.has_room && question.within_budget &&
           question.confidence < escalation_line(question, settings);
}

} // namespace figspoke::policy
