#include "cli/outcome.h"

namespace figspoke::cli {
namespace {

exit_code code_of(core::error_kind kind) {
    switch (kind) {
    case core::error_kind::bad_request:
        return exit_code::usage;
    case core::error_kind::conflict:
        return exit_code::conflict;
    case core::error_kind::store_unavailable:
        return exit_code::unavailable;
    case core::error_kind::outcome_unknown:
        return exit_code::unclear;
    default:
        return exit_code::refused;
    }
}

} // namespace

outcome failed(exit_code code, const std::string& message) {
    return {code, message + "\n", {{"error", message}}};
}

outcome failed(const core::error& error) {
    return failed(code_of(error.kind), error.message);
}

std::string render_outcome(const outcome& value, bool as_json) {
    if (!as_json) {
        return value.text;
    }
    auto data = value.data;
    data["exit_code"] = static_cast<int>(value.code);
    return data.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace figspoke::cli
