#include "support/process/requests.h"

#include <cstdlib>
#include <stdexcept>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figspoke::test {
namespace {

using nlohmann::json;

std::string error_field(const http_answer& answer, const char* field) {
    const json body = json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
        return "";
    }
    return body["error"].value(field, std::string());
}

sockaddr_in parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    return parsed;
}

} // namespace

json chat_body(const std::string& text, bool stream, int max_tokens) {
    return {{"model", "auto"},
            {"messages", json::array({{{"role", "user"}, {"content", text}}})},
            {"stream", stream},
            {"max_tokens", max_tokens}};
}

http_answer place_order(const fleet& nodes, int index, const std::string& key, const std::string& body) {
    return http_post(nodes.node(index), "/v1/orders/parts_order", body,
                     {{"authorization", std::string("Bearer ") + test_api_key}, {"idempotency-key", key}});
}

std::string kind_of(const http_answer& answer) {
    return error_field(answer, "kind");
}

std::string execution_of(const http_answer& answer) {
    return error_field(answer, "execution");
}

raw_connection::raw_connection(const std::string& address, int receive_buffer)
    : socket_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer > 0) {
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    const auto target = parse_address(address);
    // The sockets interface takes every address family through this pointer type.
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    if (::connect(socket_, reinterpret_cast<const sockaddr*>(&target), sizeof target) != 0) {
        ::close(socket_);
        throw std::runtime_error("cannot connect to " + address);
    }
}

raw_connection::~raw_connection() {
    ::close(socket_);
}

bool raw_connection::send(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string raw_connection::read_some(std::chrono::milliseconds timeout) const {
    pollfd waiting{socket_, POLLIN, 0};
    std::string bytes(16384, '\0');
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
        return "";
    }
    const auto size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    bytes.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return bytes;
}

std::string raw_connection::read_to_end(std::chrono::milliseconds timeout) const {
    std::string all;
    for (auto piece = read_some(timeout); !piece.empty(); piece = read_some(timeout)) {
        all += piece;
    }
    return all;
}

std::string raw_post(const std::string& target, const std::string& body, const std::string& more_headers) {
    return "POST " + target + " HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + test_api_key +
           "\r\nContent-Type: application/json\r\n" + more_headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace figspoke::test
