#include "support/process/client_crowd.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace figspoke::test {
namespace {

using steady = std::chrono::steady_clock;

// The receiver takes no more once no client could send for this long.
constexpr std::chrono::milliseconds quiet_time{1500};
constexpr std::chrono::seconds longest_time{25};
// Keeps the kernel from taking a whole answer on behalf of a client that doesn't read.
constexpr int receive_buffer_bytes = 4096;

} // namespace

client_crowd::client_crowd(const std::string& address, int clients, crowd_bytes bytes)
    : bytes_(std::move(bytes)) {
    // The repeated bytes are sent from one long block, so that a send takes many of them.
    const auto unit = bytes_.repeated;
    while (!unit.empty() && bytes_.repeated.size() < bytes_.piece) {
        bytes_.repeated += unit;
    }
    for (int i = 0; i < clients; ++i) {
        connect(address);
    }
    send_all();
}

client_crowd::~client_crowd() {
    for (const auto& one : clients_) {
        ::close(one.socket);
    }
}

void client_crowd::connect(const std::string& address) {
    const auto colon = address.find(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    const int made = ::connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    if (socket < 0 || (made != 0 && errno != EINPROGRESS)) {
        throw std::runtime_error("a client of the crowd cannot connect");
    }
    auto begin = bytes_.begin;
    const auto number = std::to_string(100 + clients_.size());
    for (auto at = begin.find("{}"); at != std::string::npos; at = begin.find("{}")) {
        begin.replace(at, 2, number);
    }
    clients_.push_back({socket, begin, 0});
}

bool client_crowd::wants_to_send(const client& sender) const {
    return sender.sent < sender.begin.size() + bytes_.more;
}

void client_crowd::send_all() {
    const auto end = steady::now() + longest_time;
    auto last_sent = steady::now();
    while (steady::now() < end && steady::now() - last_sent < quiet_time) {
        std::vector<pollfd> waiting;
        for (const auto& one : clients_) {
            waiting.push_back({wants_to_send(one) ? one.socket : -1, POLLOUT, 0});
        }
        if (std::all_of(waiting.begin(), waiting.end(), [](const pollfd& one) { return one.fd < 0; })) {
            return;
        }
        ::poll(waiting.data(), waiting.size(), 50);
        for (std::size_t i = 0; i < clients_.size(); ++i) {
            if (waiting[i].revents != 0 && send_piece(clients_[i])) {
                last_sent = steady::now();
            }
        }
    }
}

bool client_crowd::send_piece(client& sender) {
    const bool beginning = sender.sent < sender.begin.size();
    const auto& source = beginning ? sender.begin : bytes_.repeated;
    const auto offset = beginning ? sender.sent : (sender.sent - sender.begin.size()) % source.size();
    const auto size =
        std::min({source.size() - offset, bytes_.piece, sender.begin.size() + bytes_.more - sender.sent});
    const auto sent = ::send(sender.socket, source.data() + offset, size, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
        sender.sent += std::size_t(sent);
        return true;
    }
    if (errno != EAGAIN && errno != EWOULDBLOCK) {
        sender.sent = sender.begin.size() + bytes_.more;
    }
    return false;
}

long memory_kb(pid_t process, const std::string& field) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind(field + ":", 0) == 0) {
            return std::stol(line.substr(field.size() + 1));
        }
    }
    return 0;
}

std::size_t open_descriptors(pid_t process) {
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd");
    return std::size_t(std::distance(begin(all), end(all)));
}

} // namespace figspoke::test
