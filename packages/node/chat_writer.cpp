#include "node/chat_writer.h"

#include <nlohmann/json.hpp>

#include "adapters/sse.h"
#include "node/error_reply.h"

namespace figspoke::node {
namespace {

using adapters::render_sse;
using nlohmann::json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json usage_of(std::int64_t prompt_tokens, std::int64_t tokens, std::int64_t cost_micros) {
    return {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", tokens},
            {"total_tokens", prompt_tokens + tokens},
            {"cost_micros", cost_micros}};
}

json chunk_of(const chat_answer_head& head, const json& choices) {
    return {{"id", head.request_id},
            {"object", "chat.completion.chunk"},
            {"model", head.version},
            {"choices", choices}};
}

json whole_answer(const chat_answer_head& head, const std::string& text, const std::string& finish_reason) {
    const json message = {{"role", "assistant"}, {"content", text}};
    return {
        {"id", head.request_id},
        {"object", "chat.completion"},
        {"model", head.version},
        {"choices", json::array({{{"index", 0}, {"message", message}, {"finish_reason", finish_reason}}})}};
}

adapters::http_headers headers_of(const chat_answer_head& head, const char* content_type) {
    return {{"content-type", content_type},
            {"x-figspoke-request-id", head.request_id},
            {"x-figspoke-version", head.version},
            {"x-figspoke-conversation", head.conversation_token}};
}

} // namespace

bool chat_writer::begin() {
    if (begun_) {
        return true;
    }
    begun_ = true;
    kept_ = {200, headers_of(head_, "text/event-stream"), {}};
    return exchange_.begin_stream(kept_);
}

bool chat_writer::write_event(const std::string& data) {
    const std::string event = render_sse(data);
    caller_gone_ = caller_gone_ || !begin() || !exchange_.write(event);
    if (keeps_answer_) {
        kept_.body += event;
    }
    return !caller_gone_ || keeps_answer_;
}

bool chat_writer::add_token(std::string_view text) {
    text_ += text;
    if (!stream_) {
        return true;
    }
    const json choice = {{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}};
    return write_event(dump(chunk_of(head_, json::array({choice}))));
}

bool chat_writer::finish(std::int64_t prompt_tokens, std::int64_t tokens, std::int64_t cost_micros,
                         const std::string& finish_reason) {
    const json usage = usage_of(prompt_tokens, tokens, cost_micros);
    if (!stream_) {
        json body = whole_answer(head_, text_, finish_reason);
        body["usage"] = usage;
        kept_ = {200, headers_of(head_, "application/json"), dump(body)};
        kept_.headers["x-figspoke-cost-micros"] = std::to_string(cost_micros);
        return exchange_.send(kept_);
    }
    const json last = {{"index", 0}, {"delta", json::object()}, {"finish_reason", finish_reason}};
    json with_usage = chunk_of(head_, json::array());
    with_usage["usage"] = usage;
    write_event(dump(chunk_of(head_, json::array({last}))));
    write_event(dump(with_usage));
    write_event("[DONE]");
    return !caller_gone_ && exchange_.end_stream();
}

void chat_writer::fail(const core::error& cause, const std::vector<std::string>& addresses) {
    if (!begun_) {
        auto reply = error_reply(cause, addresses);
        reply.headers["x-figspoke-request-id"] = head_.request_id;
        exchange_.send(reply);
        return;
    }
    exchange_.write(render_sse(render_error(cause)));
    exchange_.end_stream();
}

} // namespace figspoke::node
