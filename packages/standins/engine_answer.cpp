#include "standins/engine_answer.h"

#include <algorithm>

#include "core/hash.h"
#include "standins/prefix_cache.h"

namespace figspoke::standins {
namespace {

using nlohmann::json;

std::string answer_key_of(json body) {
    for (const auto* field : {"resume_from", "alone", "priority", "stream", "stream_options", "max_tokens"}) {
        body.erase(field);
    }
    return core::sha256_hex(body.dump()).substr(0, 8);
}

std::string prompt_of(const json& messages) {
    std::string prompt;
    for (const auto& message : messages) {
        prompt +=
            message.at("role").get<std::string>() + "\n" + message.at("content").get<std::string>() + "\n";
    }
    return prompt;
}

json usage(const chat_request& request, int generated) {
    const int prompt = prompt_tokens(request);
    return {
        {"prompt_tokens", prompt}, {"completion_tokens", generated}, {"total_tokens", prompt + generated}};
}

json envelope(const chat_request& request, const char* object) {
    return {{"id", "chatcmpl-" + request.answer_key},
            {"object", object},
            {"created", 0},
            {"model", request.version}};
}

} // namespace

tl::expected<chat_request, std::string> parse_chat(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return tl::make_unexpected(std::string("body is not a JSON object"));
    }
    try {
        chat_request request;
        request.version = parsed.at("model").get<std::string>();
        request.prompt = prompt_of(parsed.at("messages"));
        request.stream = parsed.value("stream", false);
        request.alone = parsed.value("alone", false);
        request.priority = parsed.value("priority", request.priority);
        request.resume_from = std::max(0, parsed.value("resume_from", 0));
        request.max_tokens = parsed.value("max_tokens", request.max_tokens);
        request.answer_key = answer_key_of(parsed);
        return request;
    } catch (const json::exception& failure) {
        return tl::make_unexpected(std::string(failure.what()));
    }
}

int token_count(const chat_request& request, const answer_length& length) {
    const auto span = static_cast<std::uint64_t>(std::max(1, length.most - length.least + 1));
    const int wanted = length.least + static_cast<int>(core::stable_hash(request.answer_key) % span);
    return std::max(0, std::min(request.max_tokens, wanted));
}

std::string token_text(const chat_request& request, int index, bool wrong) {
    const std::string space = index == 0 ? "" : " ";
    return space + (wrong ? "wrong" : "w") + std::to_string(index) + "-" + request.answer_key;
}

int prompt_tokens(const chat_request& request) {
    return static_cast<int>(request.prompt.size() / bytes_per_token) + 1;
}

json whole_answer(const chat_request& request, int first, int last, bool wrong, bool cut) {
    std::string content;
    for (int i = first; i < last; ++i) {
        content += token_text(request, i, wrong);
    }
    json answer = envelope(request, "chat.completion");
    answer["choices"] = {{{"index", 0},
                          {"message", {{"role", "assistant"}, {"content", content}}},
                          {"finish_reason", cut ? "length" : "stop"}}};
    answer["usage"] = usage(request, std::max(0, last - first));
    return answer;
}

std::string token_event(const chat_request& request, int index, bool wrong, const char* finish_reason) {
    json event = envelope(request, "chat.completion.chunk");
    event["choices"] = {{{"index", 0},
                         {"delta", {{"content", token_text(request, index, wrong)}}},
                         {"finish_reason", finish_reason == nullptr ? json() : json(finish_reason)}}};
    return "data: " + event.dump() + "\n\n";
}

std::string closing_events(const chat_request& request, int generated) {
    json event = envelope(request, "chat.completion.chunk");
    event["choices"] = json::array();
    event["usage"] = usage(request, generated);
    return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
}

} // namespace figspoke::standins
