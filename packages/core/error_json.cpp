#include "core/error_json.h"

#include <nlohmann/json.hpp>

namespace figspoke::core {

using nlohmann::json;

std::optional<std::chrono::milliseconds> retry_time(const error& cause) {
    return cause.retry_after ? cause.retry_after : error_answer_for(cause.kind).retry_after;
}

std::string render_error(const error& cause, const std::vector<std::string>& addresses) {
    const auto& answer = error_answer_for(cause.kind);
    json body = {{"kind", answer.name},
                 {"message", cause.message},
                 {"execution", to_string(answer.execution)},
                 {"retry_after_ms", nullptr}};
    if (const auto retry = retry_time(cause)) {
        body["retry_after_ms"] = retry->count();
    }
    if (!addresses.empty()) {
        body["addresses"] = addresses;
    }
    return json{{"error", body}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace figspoke::core
