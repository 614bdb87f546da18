#include "node/chat_request.h"

#include <nlohmann/json.hpp>

namespace figspoke::node {
namespace {

using core::error_kind;
using core::fail;
using nlohmann::json;

constexpr std::int64_t max_generated_tokens = 131072;
constexpr std::size_t prefix_bytes = 1024;
constexpr std::size_t bytes_per_token = 4;

tl::unexpected<core::error> field_error(const std::string& field, const std::string& accepted) {
    return fail(error_kind::bad_request, "field \"" + field + "\" must be " + accepted);
}

core::result<void> read_messages(const json& body, chat_request& into) {
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        return field_error("messages", "an array of at least one message");
    }
    std::string text;
    for (std::size_t i = 0; i < found->size(); ++i) {
        const json& message = (*found)[i];
        const std::string name = "messages[" + std::to_string(i) + "]";
        if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
            return field_error(name + ".role", "text");
        }
        if (!message.contains("content") || !message["content"].is_string()) {
            return field_error(name + ".content", "text");
        }
        text += message["role"].get<std::string>() + "\n" + message["content"].get<std::string>() + "\n";
    }
    into.prompt_tokens = static_cast<std::int64_t>(text.size() / bytes_per_token) + 1;
    into.prompt_prefix = text.substr(0, prefix_bytes);
    return {};
}

core::result<void> read_options(const json& body, chat_request& into) {
    if (const auto found = body.find("model"); found != body.end()) {
        if (!found->is_string() || found->get<std::string>().empty()) {
            return field_error("model", "\"auto\", a model or a version");
        }
        into.model = found->get<std::string>();
    }
    if (const auto found = body.find("stream"); found != body.end()) {
        if (!found->is_boolean()) {
            return field_error("stream", "true or false");
        }
        into.stream = found->get<bool>();
    }
    if (const auto found = body.find("max_tokens"); found != body.end()) {
        if (!found->is_number_integer() || found->get<std::int64_t>() < 1 ||
            found->get<std::int64_t>() > max_generated_tokens) {
            return field_error("max_tokens", "a whole number from 1 to 131072");
        }
        into.max_tokens = found->get<std::int64_t>();
    }
    return {};
}

} // namespace

core::result<chat_request> parse_chat_request(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (parsed.is_discarded()) {
        return fail(error_kind::bad_request, "request body is not valid JSON");
    }
    if (!parsed.is_object()) {
        return fail(error_kind::bad_request, "request body is not a JSON object");
    }
    chat_request request;
    request.body = body;
    if (auto done = read_messages(parsed, request); !done) {
        return tl::make_unexpected(done.error());
    }
    if (auto done = read_options(parsed, request); !done) {
        return tl::make_unexpected(done.error());
    }
    return request;
}

} // namespace figspoke::node
