#pragma once

// Stand-ins for the scripts of this review: the platform's store, engines, clients, and the processes of
// figspoke-platform. Each server has a thread for each connection. All addresses are loopback addresses.

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;
using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

inline void pause(int ms) {
    std::this_thread::sleep_for(milliseconds(ms));
}

/// The record of a run: what was sent, answered and run, with the seconds since the start.
class record {
  public:
    explicit record(const std::string& path) : file_(path), began_(clock::now()) {}

    double now() const { return std::chrono::duration<double>(clock::now() - began_).count(); }

    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(mutex_);
        char at[20];
        std::snprintf(at, sizeof(at), "%8.3f ", now());
        file_ << at << text << std::endl;
    }

  private:
    std::mutex mutex_;
    std::ofstream file_;
    clock::time_point began_;
};

// ---- sockets

inline sockaddr_in socket_address(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &at.sin_addr);
    return at;
}

inline void set_no_delay(int socket) {
    const int on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

inline int connect_to(const std::string& address) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto at = socket_address(address);
    if (socket >= 0 && ::connect(socket, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0) {
        ::close(socket);
        return -1;
    }
    set_no_delay(socket);
    return socket;
}

inline bool send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto size = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        bytes.remove_prefix(std::size_t(size));
    }
    return true;
}

/// Appends received bytes; returns false at the end of the stream, after an error or at the time limit.
inline bool receive(int socket, std::string& buffer, int timeout_ms) {
    pollfd readable{socket, POLLIN, 0};
    if (::poll(&readable, 1, timeout_ms) <= 0) {
        return false;
    }
    char bytes[16384];
    const auto size = ::recv(socket, bytes, sizeof(bytes), 0);
    if (size <= 0) {
        return false;
    }
    buffer.append(bytes, std::size_t(size));
    return true;
}

/// Ports that are free on an IP now, all different.
inline std::vector<int> free_ports(const std::string& ip, int count) {
    std::vector<int> sockets;
    std::vector<int> ports;
    for (int i = 0; i < count; ++i) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto at = socket_address(ip + ":0");
        socklen_t size = sizeof(at);
        if (::bind(socket, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
            ::getsockname(socket, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
            throw std::runtime_error("no free port");
        }
        ports.push_back(ntohs(at.sin_port));
        sockets.push_back(socket);
    }
    for (const int socket : sockets) {
        ::close(socket);
    }
    return ports;
}

// ---- HTTP

struct message {
    /// The request line or the status line.
    std::string start;
    /// By name in lower case.
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string target() const {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
};

inline void parse_head(const std::string& head, message& into) {
    std::istringstream lines(head);
    std::string line;
    bool first = true;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (first) {
            into.start = line;
            first = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return char(std::tolower(c)); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        into.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
    }
}

/// Reads a request; bodies have a length.
inline bool read_request(int socket, std::string& buffer, message& into) {
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(socket, buffer, -1)) {
            return false;
        }
    }
    into = message{};
    parse_head(buffer.substr(0, end), into);
    buffer.erase(0, end + 4);
    const auto length = into.header("content-length");
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!receive(socket, buffer, -1)) {
            return false;
        }
    }
    into.body = buffer.substr(0, size);
    buffer.erase(0, size);
    return true;
}

struct answer {
    /// 0 where no head arrived.
    int status = 0;
    std::map<std::string, std::string> headers;
    std::string body;
    /// Whether the answer arrived to the end that its framing states.
    bool complete = false;
};

// Takes the chunks that have arrived out of `buffer`; returns true after the last one.
inline bool take_chunks(std::string& buffer, std::string& body) {
    while (true) {
        const auto line = buffer.find("\r\n");
        if (line == std::string::npos) {
            return false;
        }
        const auto size = std::stoul(buffer.substr(0, line), nullptr, 16);
        if (buffer.size() < line + 2 + size + 2) {
            return false;
        }
        body += buffer.substr(line + 2, size);
        buffer.erase(0, line + 2 + size + 2);
        if (size == 0) {
            return true;
        }
    }
}

/// Reads an answer to its end, or until nothing more comes within the time.
inline answer read_answer(int socket, int timeout_ms) {
    const auto until = clock::now() + milliseconds(timeout_ms);
    const auto left = [&] {
        return std::max<int>(int(std::chrono::duration_cast<milliseconds>(until - clock::now()).count()), 0);
    };
    std::string buffer;
    answer got;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receive(socket, buffer, left())) {
            return got;
        }
    }
    message head;
    parse_head(buffer.substr(0, end), head);
    buffer.erase(0, end + 4);
    got.status = std::stoi(head.start.substr(9, 3));
    got.headers = head.headers;
    if (head.header("transfer-encoding") == "chunked") {
        while (!(got.complete = take_chunks(buffer, got.body))) {
            if (!receive(socket, buffer, left())) {
                return got;
            }
        }
        return got;
    }
    const auto length = head.header("content-length");
    const auto size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size && receive(socket, buffer, left())) {
    }
    got.body = buffer.substr(0, size);
    got.complete = got.body.size() == size;
    return got;
}

/// Sends a request on a connection of its own.
inline answer ask(const std::string& address, const std::string& method, const std::string& target,
                  const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
                  int timeout_ms) {
    const int socket = connect_to(address);
    if (socket < 0) {
        return {};
    }
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
    }
    if (method != "GET" || !body.empty()) {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    send_all(socket, bytes + "\r\n" + body);
    const auto got = read_answer(socket, timeout_ms);
    ::close(socket);
    return got;
}

/// A TCP server whose connections can all be reset, as by a crash, and that can listen again.
class server {
  public:
    /// Serves one connection; returns when it ends.
    using handler = std::function<void(int socket)>;

    server(const std::string& ip, handler serve) : ip_(ip), serve_(std::move(serve)) {
        port_ = free_ports(ip, 1).front();
        open();
    }
    ~server() { close(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::string address() const { return ip_ + ":" + std::to_string(port_); }

    void open() {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto at = socket_address(address());
        if (::bind(listener_, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
            ::listen(listener_, 512) != 0) {
            throw std::runtime_error("cannot listen on " + address());
        }
        running_ = true;
        acceptor_ = std::thread([this] { accept_all(); });
    }

    /// Ends as a crashed process does: open connections are reset and new ones are refused.
    void close() {
        refuse();
        reset();
        finish();
    }

    // The three steps of close(), for servers that crash at the same moment.
    void refuse() {
        running_ = false;
        ::shutdown(listener_, SHUT_RDWR);
    }
    void reset() {
        const std::lock_guard lock(mutex_);
        for (const int socket : sockets_) {
            // Dissolves the connection with a reset, also while its thread waits.
            sockaddr none{};
            none.sa_family = AF_UNSPEC;
            ::connect(socket, &none, sizeof(none));
        }
    }
    void finish() {
        if (listener_ < 0) {
            return;
        }
        acceptor_.join();
        ::close(listener_);
        listener_ = -1;
        reset();
        for (auto& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    bool running() const { return running_; }

  private:
    void accept_all() {
        while (running_) {
            const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            set_no_delay(socket);
            const std::lock_guard lock(mutex_);
            if (!running_) {
                ::close(socket);
                return;
            }
            sockets_.insert(socket);
            threads_.emplace_back([this, socket] {
                serve_(socket);
                const std::lock_guard inner(mutex_);
                sockets_.erase(socket);
                ::close(socket);
            });
        }
    }

    std::string ip_;
    handler serve_;
    int port_ = 0;
    int listener_ = -1;
    std::atomic<bool> running_{false};
    std::mutex mutex_;
    std::set<int> sockets_;
    std::list<std::thread> threads_;
    std::thread acceptor_;
};

// ---- the platform's store

inline std::string to_base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k <= bytes.size() ? digits[group >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

inline std::string from_base64(const std::string& text) {
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        int value = 0;
        if (c >= 'A' && c <= 'Z') {
            value = c - 'A';
        } else if (c >= 'a' && c <= 'z') {
            value = c - 'a' + 26;
        } else if (c >= '0' && c <= '9') {
            value = c - '0' + 52;
        } else if (c == '+' || c == '/') {
            value = c == '+' ? 62 : 63;
        } else {
            break;
        }
        group = group << 6 | unsigned(value);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char(group >> bits & 255U);
        }
    }
    return bytes;
}

inline std::string unescape(const std::string& text) {
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

/// Items, range reads and conditional writes as the platform's pages describe them.
class store {
  public:
    /// Called after a write was executed and before its answer is sent, without a lock.
    using write_hook = std::function<void(const json& call)>;

    explicit store(const std::string& ip) : ip_(ip) { add_address(); }

    std::string address() const { return doors_.front()->listener->address(); }

    /// Opens a further address, so that a node of its own can be turned away.
    std::string add_address() {
        doors_.push_back(std::make_unique<door>());
        auto& added = *doors_.back();
        added.listener = std::make_unique<server>(ip_, [this, &added](int socket) { serve(socket, added); });
        return added.listener->address();
    }

    /// Answers all calls at an address with 503, as a store that turns some machines away.
    void turn_away(const std::string& address, bool away) {
        for (auto& one : doors_) {
            if (one->listener->address() == address) {
                one->away = away;
            }
        }
    }

    void put(const std::string& key, const json& value) {
        const std::lock_guard lock(mutex_);
        items_[key] = {value.dump(), ++revision_};
    }

    void remove(const std::string& key) {
        const std::lock_guard lock(mutex_);
        ++revision_;
        items_.erase(key);
    }

    std::string get(const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(key);
        return found == items_.end() ? std::string() : found->second.value;
    }

    void on_write(write_hook hook) {
        const std::lock_guard lock(mutex_);
        hook_ = std::move(hook);
    }

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct door {
        std::unique_ptr<server> listener;
        std::atomic<bool> away{false};
    };

    void serve(int socket, const door& through) {
        std::string buffer;
        message request;
        while (read_request(socket, buffer, request)) {
            int status = through.away ? 503 : 200;
            const auto body = through.away ? std::string("{}") : respond(request, status).dump();
            const auto head = "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: " +
                              "application/json\r\nContent-Length: " + std::to_string(body.size()) +
                              "\r\n\r\n";
            if (!send_all(socket, head + body)) {
                return;
            }
        }
    }

    json respond(const message& request, int& status) {
        const auto target = request.target();
        const auto mark = target.find('?');
        const auto path = target.substr(0, mark);
        std::map<std::string, std::string> query;
        std::istringstream parts(mark == std::string::npos ? std::string() : target.substr(mark + 1));
        for (std::string part; std::getline(parts, part, '&');) {
            const auto equals = part.find('=');
            query[part.substr(0, equals)] = unescape(part.substr(equals + 1));
        }
        if (path == "/kv-range") {
            return read_range(query["pathPrefix"], query["after"]);
        }
        if (path == "/kv-key") {
            return read_key(query["key"], status);
        }
        if (path == "/kv-txn") {
            const auto call = json::parse(request.body);
            auto reply = write(call, status);
            write_hook hook;
            {
                const std::lock_guard lock(mutex_);
                hook = hook_;
            }
            if (status == 200 && hook) {
                hook(call);
            }
            return reply;
        }
        status = 404;
        return json::object();
    }

    json as_json(const std::string& key, const item& stored) const {
        return {{"key", key},
                {"value", to_base64(stored.value)},
                {"revision", stored.revision},
                {"createdAt", stored.revision},
                {"lease", 0}};
    }

    json read_range(const std::string& prefix, const std::string& after) {
        const std::lock_guard lock(mutex_);
        auto list = json::array();
        for (const auto& [key, stored] : items_) {
            if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                list.push_back(as_json(key, stored));
            }
        }
        return {{"items", list}, {"hasMore", false}, {"at", revision_}};
    }

    json read_key(const std::string& key, int& status) {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(key);
        if (found == items_.end()) {
            status = 404;
            return json::object();
        }
        auto reply = as_json(key, found->second);
        reply["at"] = revision_;
        return reply;
    }

    json write(const json& call, int& status) {
        const std::lock_guard lock(mutex_);
        auto present = json::array();
        bool matches = true;
        for (const auto& row : call.value("expectedRevision", json::array())) {
            const auto key = row.at("key").get<std::string>();
            const auto found = items_.find(key);
            const std::uint64_t revision = found == items_.end() ? 0 : found->second.revision;
            matches = matches && revision == row.at("revision").get<std::uint64_t>();
            if (found != items_.end()) {
                present.push_back(as_json(key, found->second));
            }
        }
        if (!matches) {
            status = 412;
            return {{"items", present}};
        }
        ++revision_;
        for (const auto& put : call.value("puts", json::array())) {
            items_[put.at("key").get<std::string>()] = {from_base64(put.at("value").get<std::string>()),
                                                        revision_};
        }
        for (const auto& key : call.value("remove", json::array())) {
            items_.erase(key.get<std::string>());
        }
        return {{"revision", revision_}};
    }

    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    write_hook hook_;
    std::string ip_;
    std::vector<std::unique_ptr<door>> doors_;
};

// ---- engines

inline std::string engine_headers(const message& request) {
    const auto id = request.header("x-request-id");
    return "X-Request-Id: " + id + "\r\nX-Server-Signature: sig." + id + "\r\n";
}

inline std::string plain_answer(const message& request, int status, const std::string& body,
                                const std::string& more = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + engine_headers(request) + more +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string stream_head(const message& request) {
    return "HTTP/1.1 200 OK\r\n" + engine_headers(request) +
           "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

inline const std::string last_chunk = "0\r\n\r\n";

inline std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

/// An engine: answers each request with `respond`, which returns false to end the connection.
class engine {
  public:
    using responder = std::function<bool(int socket, const message& request)>;

    engine(const std::string& ip, std::string id, responder respond)
        : id_(std::move(id)), respond_(std::move(respond)),
          server_(ip, [this](int socket) { serve(socket); }) {}

    const std::string& id() const { return id_; }
    std::string address() const { return server_.address(); }
    void crash() { server_.close(); }
    server& connections() { return server_; }
    void start() { server_.open(); }
    bool running() const { return server_.running(); }

    json entry(const std::string& service, const std::string& version, const std::string& zone, int slots,
               std::int64_t born) const {
        return {{"service", service},   {"address", address()}, {"zone", zone},
                {"version", version},   {"slots", slots},       {"state", "ready"},
                {"coldRemainingMs", 0}, {"sequence", 1},        {"born", born}};
    }

  private:
    void serve(int socket) {
        std::string buffer;
        message request;
        while (read_request(socket, buffer, request)) {
            const auto target = request.header("x-target-instance");
            if (!target.empty() && target != id_) {
                if (!send_all(socket, plain_answer(request, 421, "", "X-Not-Executed: 1\r\n"))) {
                    return;
                }
                continue;
            }
            if (!respond_(socket, request)) {
                return;
            }
        }
    }

    std::string id_;
    responder respond_;
    server server_;
};

// ---- processes of figspoke-platform

/// Returns a variable of the environment or a default.
inline std::string setting(const char* name, const std::string& otherwise) {
    const char* value = std::getenv(name);
    return value == nullptr ? otherwise : std::string(value);
}

/// A node: its settings, which follow `deploy/node.toml`, and its process.
class node {
  public:
    node(std::string id, std::string zone, std::string ip, const std::vector<int>& ports, std::string seeds,
         std::string store_address, std::string directory, std::string more = {}, int descriptors = 4100)
        : id_(std::move(id)), ip_(std::move(ip)), ports_(ports), directory_(std::move(directory)) {
        std::ofstream file(settings_path());
        file << "[node]\nid = \"" << id_ << "\"\nfailure_domain = \"" << zone
             << "\"\nregion = \"region-1\"\nmemory_mb = 110\ndescriptors = " << descriptors << "\n"
             << "[regions]\n\"zone-a\" = \"region-1\"\n\"zone-b\" = \"region-1\"\n\"zone-c\" = \"region-1\"\n"
             << "[listen]\ncallers = \"" << callers() << "\"\nreadiness = \"" << readiness()
             << "\"\ndirectory = \"" << lookups() << "\"\npeers = \"" << at(3) << "\"\nmetrics = \"" << at(4)
             << "\"\n[peers]\nseeds = \"" << seeds << "\"\n[store]\naddress = \"" << store_address
             << "\"\n[bounds]\nrevocation_ms = 5000\nchange_ms = 2000\ngrace_s = 8\nentry_validity_s = 5\n"
             << "session_s = 5\nrepeat_ratio = 0.9\nrepeat_slack = 54\nrepeat_window_s = 10\n"
             << "exposure_share = 0.15\ndrain_ms = 2000\n"
             << more;
    }
    ~node() { stop_now(); }
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    const std::string& id() const { return id_; }
    std::string callers() const { return at(0); }
    std::string readiness() const { return at(1); }
    std::string lookups() const { return at(2); }
    pid_t pid() const { return pid_; }

    /// Starts the program of the deploy file's `run` line.
    void start() {
        const auto program = setting("FIGSPOKE_PROGRAM", "target/platform/figspoke-platform");
        const auto output = directory_ + "/" + id_ + ".log";
        pid_ = ::fork();
        if (pid_ == 0) {
            // The process ends with the thread that started it, also where that is killed.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int file = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            ::setenv("FIGSPOKE_NODE_FILE", settings_path().c_str(), 1);
            ::execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
    }

    /// Returns whether the process still runs; if not, `status` is that of waitpid().
    bool running() {
        if (pid_ > 0 && ::waitpid(pid_, &status_, WNOHANG) == pid_) {
            pid_ = -1;
        }
        return pid_ > 0;
    }
    int status() const { return status_; }

    void signal(int number) {
        if (pid_ > 0) {
            ::kill(pid_, number);
        }
    }

    void stop_now() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, &status_, 0);
            pid_ = -1;
        }
    }

    bool ready() const { return ask(readiness(), "GET", "/ready", {{"Host", "h"}}, "", 1000).status == 200; }

    bool wait_until_ready(int timeout_ms) {
        const auto until = clock::now() + milliseconds(timeout_ms);
        while (clock::now() < until && running()) {
            if (ready()) {
                return true;
            }
            pause(50);
        }
        return false;
    }

    /// Returns a size in KB from the process's status, such as `VmHWM`.
    long memory_kb(const std::string& field) const {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.compare(0, field.size() + 1, field + ":") == 0) {
                return std::stol(line.substr(field.size() + 1));
            }
        }
        return 0;
    }

    std::string log() const {
        std::ifstream file(directory_ + "/" + id_ + ".log");
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

  private:
    std::string at(int port) const { return ip_ + ":" + std::to_string(ports_.at(std::size_t(port))); }
    std::string settings_path() const { return directory_ + "/" + id_ + ".toml"; }

    std::string id_;
    std::string ip_;
    std::vector<int> ports_;
    std::string directory_;
    pid_t pid_ = -1;
    int status_ = 0;
};

/// A temporary directory that is removed at the end.
class temporary_directory {
  public:
    temporary_directory() {
        std::string pattern = setting("TMPDIR", "/tmp") + "/review-XXXXXX";
        if (::mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("no temporary directory");
        }
        path_ = pattern;
    }
    ~temporary_directory() {
        if (setting("KEEP", "0") == "0") {
            const auto ignored = std::system(("rm -rf '" + path_ + "'").c_str());
            static_cast<void>(ignored);
        }
    }
    temporary_directory(const temporary_directory&) = delete;
    temporary_directory& operator=(const temporary_directory&) = delete;
    const std::string& path() const { return path_; }

  private:
    std::string path_;
};

inline bool trouble() {
    return setting("TROUBLE", "1") != "0";
}

/// A route of the operator's configuration.
inline json route(const std::string& name, const std::string& kind, const std::string& service,
                  bool resumable) {
    return {{"name", name},
            {"host", "shop.example"},
            {"pathPrefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeoutMs", 8000},
            {"targetLatencyMs", 2000},
            {"priority", 1},
            {"maxAttempts", 3},
            {"resumable", resumable},
            {"allowAnonymous", false},
            {"targetGapMs", 1200},
            {"sticky", false}};
}

inline json configuration(const std::vector<json>& routes) {
    return {{"version", 3},
            {"routes", routes},
            {"services", {{{"name", "model"}, {"maxConns", 360}}, {{"name", "desk"}, {"maxConns", 100}}}},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 4194304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", {{{"name", "tenant-1"}, {"apiKeys", {"key-1"}}}}}};
}

inline std::vector<std::pair<std::string, std::string>> client_headers(const std::string& id,
                                                                       int deadline_ms) {
    return {{"Host", "shop.example"},
            {"X-Request-Id", id},
            {"X-Deadline-Ms", std::to_string(deadline_ms)},
            {"Api-Key", "key-1"}};
}

} // namespace review
