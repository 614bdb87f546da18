#include "platform/support/engine_stand_in.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <stdexcept>

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figspoke::test {
namespace {

// In bytes.
constexpr int small_receive_buffer = 8 * 1024;

// Appends received bytes to the buffer; returns false when the connection is closed or broken.
bool read_more(int socket, std::string& buffer) {
    char bytes[4096];
    const auto size = ::recv(socket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(bytes, std::size_t(size));
    return true;
}

void parse_head(const std::string& head, engine_request& request) {
    std::size_t begin = 0;
    while (begin < head.size()) {
        const auto end = head.find("\r\n", begin);
        const auto line = head.substr(begin, end - begin);
        const auto colon = line.find(':');
        if (begin == 0) {
            request.line = line;
        } else if (colon != std::string::npos) {
            auto name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
            request.headers[name] = line.substr(std::min(colon + 2, line.size()));
        }
        begin = end + 2;
    }
}

std::optional<engine_request> read_request(int socket, std::string& buffer, engine_start start) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!read_more(socket, buffer)) {
            return std::nullopt;
        }
    }
    engine_request request;
    parse_head(buffer.substr(0, end + 2), request);
    buffer.erase(0, end + 4);
    if (start == engine_start::head_only) {
        return request;
    }
    const auto length = request.headers.find("content-length");
    const std::size_t size = length == request.headers.end() ? 0 : std::stoul(length->second);
    while (buffer.size() < size) {
        if (!read_more(socket, buffer)) {
            return std::nullopt;
        }
    }
    request.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return request;
}

std::string engine_headers(const engine_request& request) {
    const auto id = request.headers.find("x-request-id");
    const std::string value = id == request.headers.end() ? "" : id->second;
    return "X-Request-Id: " + value + "\r\nX-Server-Signature: s." + value + "\r\n";
}

} // namespace

void engine_connection::send(const std::string& bytes) {
    std::size_t sent = 0;
    while (open_ && sent < bytes.size()) {
        const auto size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        open_ = size > 0;
        sent += open_ ? std::size_t(size) : 0;
    }
}

void engine_connection::answer(const engine_request& request, int status, const std::string& body,
                               const std::string& headers) {
    send("HTTP/1.1 " + std::to_string(status) + " Status\r\n" + engine_headers(request) + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
}

void engine_connection::begin_stream(const engine_request& request) {
    send("HTTP/1.1 200 OK\r\n" + engine_headers(request) +
         "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void engine_connection::send_chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    send(size + bytes + "\r\n");
}

void engine_connection::end_stream() {
    send("0\r\n\r\n");
}

void engine_connection::shut() {
    ::shutdown(socket_, SHUT_WR);
    open_ = false;
}

void engine_connection::reset() {
    // A linger time of 0 makes close() send a reset.
    const linger reset_on_close{1, 0};
    ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    ::shutdown(socket_, SHUT_RD);
    open_ = false;
}

bool engine_connection::wait_for_close(int timeout_ms) {
    pollfd peer_closed{socket_, POLLIN | POLLRDHUP, 0};
    return ::poll(&peer_closed, 1, timeout_ms) > 0 &&
           (peer_closed.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

engine_stand_in::engine_stand_in(handler handle, engine_start start)
    : handle_(std::move(handle)), start_(start) {
    listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (start_ == engine_start::head_only) {
        // A peer that sends a long body is still writing it when the handler runs.
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &small_receive_buffer, sizeof(small_receive_buffer));
    }
    sockaddr_in listen_address{};
    listen_address.sin_family = AF_INET;
    listen_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(listen_address);
    auto* socket_address = reinterpret_cast<sockaddr*>(&listen_address);
    if (::bind(listener_, socket_address, size) != 0 || ::listen(listener_, 64) != 0 ||
        ::getsockname(listener_, socket_address, &size) != 0) {
        throw std::runtime_error("the engine stand-in cannot listen on a loopback port");
    }
    port_ = ntohs(listen_address.sin_port);
    acceptor_ = std::thread([this] { accept_loop(); });
}

engine_stand_in::~engine_stand_in() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : sockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (auto& thread : threads_) {
        thread.join();
    }
}

void engine_stand_in::crash() {
    const std::lock_guard lock(mutex_);
    crashed_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    const linger reset_on_close{1, 0};
    for (const int socket : sockets_) {
        ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        ::shutdown(socket, SHUT_RD);
    }
}

std::string engine_stand_in::address() const {
    return "127.0.0.1:" + std::to_string(port_);
}

std::vector<engine_request> engine_stand_in::requests() const {
    const std::lock_guard lock(mutex_);
    return requests_;
}

void engine_stand_in::accept_loop() {
    while (!stopping_ && !crashed_) {
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        const std::lock_guard lock(mutex_);
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve_connection(socket); });
    }
}

void engine_stand_in::serve_connection(int socket) {
    std::string buffer;
    engine_connection connection(socket);
    while (connection.open() && !stopping_ && !crashed_) {
        const auto request = read_request(socket, buffer, start_);
        if (!request) {
            break;
        }
        {
            const std::lock_guard lock(mutex_);
            requests_.push_back(*request);
        }
        handle_(connection, *request);
        if (start_ == engine_start::head_only) {
            break;
        }
    }
    const std::lock_guard lock(mutex_);
    sockets_.erase(std::remove(sockets_.begin(), sockets_.end(), socket), sockets_.end());
    ::close(socket);
}

} // namespace figspoke::test
