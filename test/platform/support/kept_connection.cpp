#include "platform/support/kept_connection.h"

#include <algorithm>
#include <cctype>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figspoke::test {
namespace {

constexpr const char* line_end = "\r\n";

void parse_head(const std::string& head, kept_answer& answer) {
    answer.status = std::atoi(head.c_str() + head.find(' ') + 1);
    for (auto begin = head.find(line_end); begin != std::string::npos; begin = head.find(line_end, begin)) {
        begin += 2;
        const auto line = head.substr(begin, head.find(line_end, begin) - begin);
        const auto colon = line.find(": ");
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        answer.headers[name] = line.substr(colon + 2);
    }
}

} // namespace

kept_connection::kept_connection(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    if (::connect(socket_, reinterpret_cast<sockaddr*>(&peer), sizeof(peer)) != 0) {
        ::close(socket_);
        throw std::runtime_error("cannot connect to " + address);
    }
}

kept_connection::~kept_connection() {
    ::close(socket_);
}

void kept_connection::send(const std::string& path, const std::string& id, core::milliseconds deadline,
                           const std::string& headers, const std::string& body) {
    const std::string request = "POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
                                "\r\nX-Deadline-Ms: " + std::to_string(deadline.count()) +
                                "\r\nApi-Key: k1\r\n" + headers +
                                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (std::size_t sent = 0; sent < request.size();) {
        const auto size = ::send(socket_, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return;
        }
        sent += std::size_t(size);
    }
}

bool kept_connection::read_more(core::milliseconds timeout) {
    pollfd waiting{socket_, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(timeout.count())) <= 0) {
        return false;
    }
    char bytes[4096];
    const auto size = ::recv(socket_, bytes, sizeof(bytes), 0);
    if (size > 0) {
        unread_.append(bytes, std::size_t(size));
    }
    return size > 0;
}

bool kept_connection::read_until(const std::string& mark, core::milliseconds timeout) {
    while (unread_.find(mark) == std::string::npos) {
        if (!read_more(timeout)) {
            return false;
        }
    }
    return true;
}

bool kept_connection::read_chunks(kept_answer& answer, core::milliseconds timeout) {
    while (read_until(line_end, timeout)) {
        const auto size = std::stoul(unread_, nullptr, 16);
        unread_.erase(0, unread_.find(line_end) + 2);
        while (unread_.size() < size + 2) {
            if (!read_more(timeout)) {
                answer.body += unread_;
                return false;
            }
        }
        answer.body += unread_.substr(0, size);
        unread_.erase(0, size + 2);
        if (size == 0) {
            return true;
        }
    }
    return false;
}

kept_answer kept_connection::read(core::milliseconds timeout) {
    kept_answer answer;
    const std::string head_end = "\r\n\r\n";
    if (!read_until(head_end, timeout)) {
        return answer;
    }
    const auto size = unread_.find(head_end);
    parse_head(unread_.substr(0, size), answer);
    unread_.erase(0, size + head_end.size());
    if (answer.headers.count("transfer-encoding") > 0) {
        answer.complete = read_chunks(answer, timeout);
        return answer;
    }
    const auto length = answer.headers.find("content-length");
    const std::size_t declared = length == answer.headers.end() ? 0 : std::stoul(length->second);
    while (unread_.size() < declared && read_more(timeout)) {
    }
    answer.complete = unread_.size() >= declared;
    answer.body = unread_.substr(0, declared);
    unread_.erase(0, answer.body.size());
    return answer;
}

} // namespace figspoke::test
