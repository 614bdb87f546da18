#include "support/process/http.h"

#include <exception>
#include <stdexcept>

#include "adapters/http_client.h"

namespace figspoke::test {

namespace asio = boost::asio;
using nlohmann::json;

http_answer http_send(const adapters::http_call& call) {
    asio::io_context context;
    adapters::http_client client(context);
    http_answer answer;
    const auto on_head = [&](int status, const adapters::http_headers& headers) {
        answer.status = status;
        answer.headers = headers;
        return true;
    };
    const auto on_chunk = [&](std::string_view chunk) {
        answer.body.append(chunk);
        return true;
    };
    asio::spawn(
        context,
        [&](const asio::yield_context& yield) {
            const auto result = client.stream(call, on_head, on_chunk, yield);
            answer.complete = result.has_value();
            answer.failure = result ? "" : result.error().message;
        },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
    return answer;
}

http_answer http_get(const std::string& address, const std::string& target,
                     const adapters::http_headers& headers) {
    adapters::http_call call;
    call.address = address;
    call.target = target;
    call.headers = headers;
    call.timeout = std::chrono::seconds(30);
    return http_send(call);
}

http_answer http_post(const std::string& address, const std::string& target, const std::string& body,
                      const adapters::http_headers& headers) {
    adapters::http_call call;
    call.address = address;
    call.method = "POST";
    call.target = target;
    call.headers = headers;
    call.body = body;
    call.timeout = std::chrono::seconds(30);
    return http_send(call);
}

json json_of(const http_answer& answer) {
    return json::parse(answer.body);
}

std::vector<std::string> split_events(const std::string& text) {
    std::vector<std::string> events;
    std::size_t begin = 0;
    for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", begin)) {
        const auto event = text.substr(begin, end - begin);
        const auto data = event.find("data: ");
        if (data != std::string::npos) {
            events.push_back(event.substr(data + 6));
        }
        begin = end + 2;
    }
    return events;
}

std::string streamed_text(const std::string& events) {
    std::string text;
    for (const auto& data : split_events(events)) {
        const json event = json::parse(data, nullptr, false);
        if (event.is_object() && event.contains("choices")) {
            for (const auto& choice : event["choices"]) {
                text += choice.value("delta", json::object()).value("content", "");
            }
        }
    }
    return text;
}

std::string answer_text(const http_answer& answer) {
    return json_of(answer).at("choices").at(0).at("message").at("content").get<std::string>();
}

void set_control(const std::string& address, const json& fields) {
    const auto answer = http_post(address, "/control", fields.dump());
    if (answer.status != 200) {
        throw std::runtime_error("control of " + address + " failed: " + answer.body + answer.failure);
    }
}

json get_counts(const std::string& address) {
    return json_of(http_get(address, "/counts"));
}

} // namespace figspoke::test
