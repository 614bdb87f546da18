#include "cli/load_request.h"

#include <nlohmann/json.hpp>

#include "adapters/sse.h"

namespace figspoke::cli {
namespace {

using boost::asio::yield_context;
using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr int max_moves = 5;
constexpr std::size_t max_kept_body = 65536;

// What has been read of one answer.
struct answer_reader {
    int status = 0;
    std::string body;
    adapters::sse_buffer events;
    bool ended = false;
    std::string error;
    std::optional<clock::time_point> first_token;
};

std::string error_kind_in(const json& value) {
    const auto error = value.is_object() ? value.value("error", json()) : json();
    return error.is_object() ? error.value("kind", std::string("unnamed")) : std::string();
}

void read_event(answer_reader& reader, std::string_view data) {
    if (data == "[DONE]") {
        reader.ended = true;
        return;
    }
    const auto event = json::parse(data, nullptr, false);
    if (const auto kind = error_kind_in(event); !kind.empty()) {
        reader.error = kind;
    }
    if (!reader.first_token && event.is_object() && !event.value("choices", json::array()).empty()) {
        reader.first_token = clock::now();
    }
}

void read_piece(answer_reader& reader, std::string_view piece, bool is_stream) {
    if (is_stream && reader.status == 200) {
        adapters::feed_sse(reader.events, piece, [&](std::string_view data) {
            read_event(reader, data);
            return true;
        });
    } else if (reader.body.size() < max_kept_body) {
        reader.body.append(piece);
    }
}

adapters::http_call build_call(const load_target& target, const planned_request& request,
                               std::size_t number) {
    adapters::http_call call;
    call.method = "POST";
    call.timeout = target.options.timeout;
    call.headers = {{"authorization", "Bearer " + target.options.keys.at(request.key_index)},
                    {"content-type", "application/json"},
                    {"x-figspoke-priority", request.priority}};
    if (request.is_order) {
        call.target = "/v1/orders/" + target.options.order_service;
        call.headers["idempotency-key"] = target.run_id + "-" + std::to_string(number);
        call.body = json{{"order", number}}.dump();
        return call;
    }
    const json message = {{"role", "user"}, {"content", request.prompt}};
    call.target = "/v1/chat/completions";
    call.body = json{{"model", "auto"},
                     {"messages", json::array({message})},
                     {"stream", request.is_stream},
                     {"max_tokens", request.answer_tokens}}
                    .dump();
    return call;
}

std::string error_of(const answer_reader& reader, bool is_stream) {
    if (reader.status != 200) {
        const auto kind = error_kind_in(json::parse(reader.body, nullptr, false));
        return kind.empty() ? "status " + std::to_string(reader.status) : kind;
    }
    if (!reader.error.empty()) {
        return reader.error;
    }
    return is_stream && !reader.ended ? "broken_answer" : "";
}

std::string error_of(const adapters::http_failure& failure) {
    if (failure.progress == adapters::call_progress::not_sent) {
        return "connect";
    }
    return failure.timed_out ? "timeout" : "broken_answer";
}

// None of these ran, so the request may be sent again.
bool may_move(const std::string& error) {
    return error == "connect" || error == "draining" || error == "isolated";
}

std::string send_once(const load_target& target, const adapters::http_call& call, bool is_stream,
                      answer_reader& reader, const yield_context& yield) {
    const auto on_head = [&](int status, const adapters::http_headers&) {
        reader.status = status;
        return true;
    };
    const auto on_chunk = [&](std::string_view piece) {
        read_piece(reader, piece, is_stream);
        return true;
    };
    const auto answer = target.client.stream(call, on_head, on_chunk, yield);
    return answer ? error_of(reader, is_stream) : error_of(answer.error());
}

std::chrono::microseconds since(clock::time_point started, clock::time_point now) {
    return std::chrono::duration_cast<std::chrono::microseconds>(now - started);
}

} // namespace

request_result send_planned(const load_target& target, const planned_request& request, std::size_t number,
                            clock::time_point started, const yield_context& yield) {
    request_result result;
    result.priority = request.priority;
    auto call = build_call(target, request, number);
    while (true) {
        call.address = take_address(target.book, target.client, yield);
        answer_reader reader;
        result.error = send_once(target, call, request.is_stream, reader, yield);
        if (reader.first_token) {
            result.first_token = since(started, *reader.first_token);
        }
        if (!may_move(result.error) || result.moves >= max_moves) {
            result.total = since(started, clock::now());
            return result;
        }
        ++result.moves;
        expire(target.book);
    }
}

} // namespace figspoke::cli
