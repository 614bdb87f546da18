#include "adapters/chat_upstream.h"

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

#include "adapters/sse.h"

namespace figspoke::adapters {
namespace {

using nlohmann::json;

// Bytes of an event beside the text of its token.
constexpr std::size_t max_event_overhead = 1024;

// What was read of a stream so far.
struct chat_reading {
    chat_outcome outcome;
    sse_buffer events;
    /// Bytes received, and those of them that are text of tokens.
    std::size_t bytes = 0;
    std::size_t text_bytes = 0;
    bool done = false;
    bool malformed = false;
    bool cancelled = false;
};

// Returns the longest stream of a sound engine, in bytes.
std::size_t max_stream_bytes(const chat_call& call) {
    return max_answer_bytes + std::size_t(call.max_tokens) * max_event_overhead;
}

std::string build_body(const chat_call& call) {
    json body = json::parse(call.body, nullptr, false);
    body["model"] = call.version;
    body["stream"] = true;
    body["max_tokens"] = call.max_tokens;
    body["priority"] = call.priority;
    if (call.resume_from > 0) {
        body["resume_from"] = call.resume_from;
    }
    if (call.alone) {
        body["alone"] = true;
    }
    return body.dump();
}

bool read_choice(const json& choice, chat_reading& reading, const token_handler& on_token) {
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        reading.outcome.finish_reason = choice["finish_reason"].get<std::string>();
    }
    const auto delta = value_or(choice, "delta", json::object());
    if (!delta.is_object() || !delta.contains("content") || !delta["content"].is_string()) {
        return true;
    }
    const auto& text = delta["content"].get_ref<const std::string&>();
    reading.text_bytes += text.size();
    if (reading.text_bytes > max_answer_bytes) {
        reading.malformed = true;
        return false;
    }
    ++reading.outcome.tokens;
    reading.cancelled = !on_token(text);
    return !reading.cancelled;
}

bool read_event(std::string_view data, chat_reading& reading, const token_handler& on_token) {
    if (data == "[DONE]") {
        reading.done = true;
        return true;
    }
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object() || event.contains("error")) {
        reading.malformed = true;
        return false;
    }
    if (event.contains("usage") && event["usage"].is_object()) {
        reading.outcome.prompt_tokens = value_or(event["usage"], "prompt_tokens", std::int64_t{0});
    }
    const auto choices = value_or(event, "choices", json::array());
    for (const auto& choice : choices) {
        if (choice.is_object() && !read_choice(choice, reading, on_token)) {
            return false;
        }
    }
    return true;
}

bool is_refusal(int status, const http_headers& headers) {
    return status >= 400 && header_or_empty(headers, "x-not-run") == "true";
}

void settle(chat_reading& reading, const http_result<http_reply>& answer) {
    auto& outcome = reading.outcome;
    if (outcome.end == chat_end::not_run) {
        return;
    }
    if (reading.cancelled) {
        outcome.end = chat_end::cancelled;
        return;
    }
    if (reading.done) {
        outcome.end = chat_end::complete;
        return;
    }
    outcome.end = chat_end::broken;
    if (answer) {
        outcome.message = "stream ended without [DONE]";
        outcome.connection_lost = outcome.status == 200 && !reading.malformed;
        return;
    }
    outcome.message = answer.error().message;
    outcome.timed_out = answer.error().timed_out;
    outcome.connection_lost =
        outcome.status < 400 && !outcome.timed_out && !reading.malformed && !answer.error().malformed;
    if (answer.error().progress == call_progress::not_sent) {
        outcome.end = chat_end::not_run;
        outcome.connection_lost = false;
    }
}

} // namespace

chat_outcome run_chat(http_client& client, const chat_call& call, const token_handler& on_token,
                      const boost::asio::yield_context& yield) {
    chat_reading reading;
    const http_call request{call.address,
                            "POST",
                            "/v1/chat/completions",
                            {{"content-type", "application/json"}, {"x-request-id", call.request_id}},
                            build_body(call),
                            call.idle_timeout,
                            true};
    const auto on_head = [&](int status, const http_headers& headers) {
        reading.outcome.status = status;
        if (is_refusal(status, headers)) {
            reading.outcome.end = chat_end::not_run;
            reading.outcome.message = "refused with status " + std::to_string(status);
        }
        return status == 200;
    };
    const auto on_chunk = [&](std::string_view bytes) {
        reading.bytes += bytes.size();
        if (reading.bytes > max_stream_bytes(call)) {
            reading.malformed = true;
            return false;
        }
        return feed_sse(reading.events, bytes,
                        [&](std::string_view data) { return read_event(data, reading, on_token); });
    };
    const auto answer = client.stream(request, on_head, on_chunk, yield);
    settle(reading, answer);
    return reading.outcome;
}

} // namespace figspoke::adapters
