// Stand-ins for the cases of the review: the platform's store, engines, clients and the platform's handling
// of a node's process. Plain POSIX sockets and one thread for each connection; everything is on loopback.
#pragma once

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
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
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

namespace kit {

using nlohmann::json;
using headers = std::map<std::string, std::string>;

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

inline std::int64_t now_ms() {
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

inline void sleep_ms(std::int64_t ms) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// ---- record

inline std::FILE*& record_file() {
    static std::FILE* file = nullptr;
    return file;
}

inline std::mutex& record_mutex() {
    static std::mutex mutex;
    return mutex;
}

// Writes one line with the time since the start, in milliseconds, to record.txt.
__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
    const std::lock_guard lock(record_mutex());
    std::fprintf(record_file(), "%7lld  ", static_cast<long long>(now_ms()));
    va_list values;
    va_start(values, format);
    std::vfprintf(record_file(), format, values);
    va_end(values);
    std::fputc('\n', record_file());
    std::fflush(record_file());
}

[[noreturn]] void leave(int code);

[[noreturn]] inline void give_up(const std::string& why) {
    note("the case could not run: %s", why.c_str());
    std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
    leave(could_not_run);
}

inline bool trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---- sockets

inline sockaddr_in endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
    return to;
}

// Returns a port that is free on the loopback address at the time of the call.
inline int free_port(const std::string& ip) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto to = endpoint(ip + ":0");
    socklen_t size = sizeof(to);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&to), size) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&to), &size) != 0) {
        give_up("no free port on " + ip);
    }
    ::close(fd);
    return ntohs(to.sin_port);
}

// One TCP connection with a buffer of the bytes that were received and not used yet.
class stream {
  public:
    explicit stream(int fd) : fd_(fd) {
        const int on = 1;
        ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~stream() { close(); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (open_ && sent < bytes.size()) {
            const auto size = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                open_ = false;
            } else {
                sent += std::size_t(size);
            }
        }
        return open_;
    }

    // Reads more bytes; false at the end of the connection, on an error or after `wait` ms (-1: no limit).
    bool fill(int wait = -1) {
        pollfd ready{fd_, POLLIN, 0};
        if (!open_ || ::poll(&ready, 1, wait) <= 0) {
            return false;
        }
        char bytes[16384];
        const auto size = ::recv(fd_, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            was_reset_ = size < 0;
            open_ = false;
            return false;
        }
        buffer.append(bytes, std::size_t(size));
        return true;
    }

    // Returns whether the peer has closed the connection, within `wait` ms.
    bool peer_closed(int wait) {
        pollfd ready{fd_, POLLRDHUP, 0};
        return !open_ || (::poll(&ready, 1, wait) > 0 && (ready.revents & (POLLRDHUP | POLLHUP | POLLERR)));
    }

    void close() {
        open_ = false;
        if (fd_ >= 0) {
            ::close(fd_);
            fd_ = -1;
        }
    }

    void reset() {
        const linger at_once{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        close();
    }

    // Ends the connection from another thread, as the end of the process would: the peer gets a reset.
    void abort() {
        const linger at_once{1, 0};
        ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        open_ = false;
        ::shutdown(fd_, SHUT_RD);
    }

    bool open() const { return open_; }
    bool was_reset() const { return was_reset_; }

    std::string buffer;

  private:
    int fd_;
    std::atomic<bool> open_{true};
    bool was_reset_ = false;
};

using stream_ptr = std::shared_ptr<stream>;

// Accepts connections on a loopback address; each is served on a thread of its own.
class listener {
  public:
    listener(const std::string& ip, std::function<void(const stream_ptr&)> serve) : serve_(std::move(serve)) {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto at = endpoint(ip + ":0");
        socklen_t size = sizeof(at);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd_, 512) != 0 ||
            ::getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
            give_up("cannot listen on " + ip);
        }
        address_ = ip + ":" + std::to_string(ntohs(at.sin_port));
        std::thread([this] { accept_loop(); }).detach();
    }

    const std::string& address() const { return address_; }

    // Refuses connections from now on and resets those that are open.
    void go_down() {
        const std::lock_guard lock(mutex_);
        ::shutdown(fd_, SHUT_RDWR);
        ::close(fd_);
        fd_ = -1;
        for (const auto& each : links_) {
            if (const auto link = each.lock()) {
                link->abort();
            }
        }
        links_.clear();
    }

    // Listens on the same address again.
    void come_back() {
        const std::lock_guard lock(mutex_);
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto at = endpoint(address_);
        if (::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 || ::listen(fd, 512) != 0) {
            give_up("cannot listen on " + address_ + " again");
        }
        fd_ = fd;
    }

  private:
    void accept_loop() {
        while (true) {
            const int listening = fd_;
            const int fd = listening < 0 ? -1 : ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) {
                sleep_ms(5);
                continue;
            }
            auto link = std::make_shared<stream>(fd);
            {
                const std::lock_guard lock(mutex_);
                links_.erase(std::remove_if(links_.begin(), links_.end(),
                                            [](const std::weak_ptr<stream>& each) { return each.expired(); }),
                             links_.end());
                links_.push_back(link);
            }
            std::thread([this, link] { serve_(link); }).detach();
        }
    }

    std::function<void(const stream_ptr&)> serve_;
    std::atomic<int> fd_{-1};
    std::string address_;
    std::mutex mutex_;
    std::vector<std::weak_ptr<stream>> links_;
};

// ---- HTTP

struct request {
    std::string method;
    std::string target;
    headers fields;
    std::string body;

    std::string field(const std::string& name) const {
        const auto found = fields.find(name);
        return found == fields.end() ? std::string() : found->second;
    }
};

inline std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return char(std::tolower(c)); });
    return text;
}

// Parses a head without its final empty line; returns the first line.
inline std::string parse_head(const std::string& head, headers& fields) {
    std::string first;
    for (std::size_t begin = 0; begin < head.size();) {
        auto end = head.find("\r\n", begin);
        end = end == std::string::npos ? head.size() : end;
        const auto line = head.substr(begin, end - begin);
        const auto colon = line.find(':');
        if (begin == 0) {
            first = line;
        } else if (colon != std::string::npos) {
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(" \t"));
            fields[lower(line.substr(0, colon))] = value;
        }
        begin = end + 2;
    }
    return first;
}

// Reads one request with a length; empty at the end of the connection.
inline std::optional<request> read_request(stream& link) {
    std::size_t end = 0;
    while ((end = link.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!link.fill()) {
            return std::nullopt;
        }
    }
    request read;
    const auto line = parse_head(link.buffer.substr(0, end), read.fields);
    link.buffer.erase(0, end + 4);
    const auto space = line.find(' ');
    read.method = line.substr(0, space);
    read.target = line.substr(space + 1, line.rfind(' ') - space - 1);
    const auto length = read.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (link.buffer.size() < size) {
        if (!link.fill()) {
            return std::nullopt;
        }
    }
    read.body = link.buffer.substr(0, size);
    link.buffer.erase(0, size);
    return read;
}

struct answer {
    // 0 where no head came.
    int status = 0;
    headers fields;
    std::string body;
    // The whole answer has come.
    bool complete = false;
    std::int64_t ended_at = 0;
    bool timed_out = false;
};

// A client's connection, which may be kept for several requests.
class client {
  public:
    bool connect(const std::string& address, int wait = 1000) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        const auto to = endpoint(address);
        const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
        pollfd ready{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        const bool connected =
            result == 0 || (errno == EINPROGRESS && ::poll(&ready, 1, wait) > 0 &&
                            ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0);
        if (!connected) {
            ::close(fd);
            return false;
        }
        ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
        link_ = std::make_shared<stream>(fd);
        return true;
    }

    bool send(const std::string& method, const std::string& target, const headers& fields,
              const std::string& body = {}) {
        std::string text = method + " " + target + " HTTP/1.1\r\n";
        for (const auto& [name, value] : fields) {
            text += name + ": " + value + "\r\n";
        }
        if (method != "GET") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        return link_ && link_->send(text + "\r\n" + body);
    }

    answer read(int wait) {
        const auto until = now_ms() + wait;
        answer result;
        const auto more = [&] {
            const auto left = until - now_ms();
            if (left <= 0) {
                result.timed_out = true;
                return false;
            }
            const bool filled = link_->fill(int(left));
            result.timed_out = !filled && link_->open();
            return filled;
        };
        read_into(result, more);
        result.ended_at = now_ms();
        return result;
    }

    // Returns whether the node asks for the end of the connection or has closed it.
    bool must_close(const answer& last) {
        const auto found = last.fields.find("connection");
        return !link_ || !link_->open() || !last.complete ||
               (found != last.fields.end() && lower(found->second) == "close");
    }

    stream* link() { return link_.get(); }
    void close() { link_.reset(); }

  private:
    template <class More>
    void read_into(answer& result, const More& more) {
        auto& buffer = link_->buffer;
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!more()) {
                return;
            }
        }
        const auto line = parse_head(buffer.substr(0, end), result.fields);
        buffer.erase(0, end + 4);
        result.status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
        const auto length = result.fields.find("content-length");
        if (length != result.fields.end()) {
            const auto size = std::size_t(std::stoul(length->second));
            while (buffer.size() < size) {
                if (!more()) {
                    return;
                }
            }
            result.body = buffer.substr(0, size);
            buffer.erase(0, size);
            result.complete = true;
            return;
        }
        while (true) {
            std::size_t eol = 0;
            while ((eol = buffer.find("\r\n")) == std::string::npos) {
                if (!more()) {
                    return;
                }
            }
            const auto size = std::stoul(buffer.substr(0, eol), nullptr, 16);
            while (buffer.size() < eol + 2 + size + 2) {
                if (!more()) {
                    return;
                }
            }
            result.body += buffer.substr(eol + 2, size);
            buffer.erase(0, eol + 2 + size + 2);
            if (size == 0) {
                result.complete = true;
                return;
            }
        }
    }

    stream_ptr link_;
};

// ---- the platform's store

inline std::string encode_base64(const std::string& bytes) {
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const auto at = [&](std::size_t j) {
            return j < bytes.size() ? unsigned((unsigned char)bytes[j]) : 0U;
        };
        const unsigned group = at(i) << 16U | at(i + 1) << 8U | at(i + 2);
        text += digits[group >> 18U];
        text += digits[group >> 12U & 63U];
        text += i + 1 < bytes.size() ? digits[group >> 6U & 63U] : '=';
        text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
    }
    return text;
}

inline std::string decode_base64(const std::string& text) {
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char c : text) {
        const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const char* found = c == '\0' ? nullptr : std::strchr(digits, c);
        if (found == nullptr) {
            break;
        }
        group = group << 6U | unsigned(found - digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += char(group >> unsigned(bits) & 255U);
        }
    }
    return bytes;
}

inline std::string percent_decode(const std::string& text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += char(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

// The store: ranges, single keys, conditional writes. Nodes may not write under op/ and servers/.
class store {
  public:
    explicit store(const std::string& ip) : listener_(ip, [this](const stream_ptr& link) { serve(*link); }) {}

    const std::string& address() const { return listener_.address(); }

    void put(const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        items_[key] = {value, ++revision_};
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

  private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
    };

    void serve(stream& link) {
        while (const auto call = read_request(link)) {
            const auto [status, body] = answer_call(*call);
            link.send("HTTP/1.1 " + std::to_string(status) +
                      " S\r\nContent-Type: application/json\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    }

    static std::string parameter(const std::string& query, const std::string& name) {
        for (std::size_t begin = 0; begin <= query.size();) {
            auto end = query.find('&', begin);
            end = end == std::string::npos ? query.size() : end;
            const auto part = query.substr(begin, end - begin);
            if (part.compare(0, name.size() + 1, name + "=") == 0) {
                return percent_decode(part.substr(name.size() + 1));
            }
            begin = end + 1;
        }
        return {};
    }

    static json to_json(const std::string& key, const item& stored) {
        return {{"key", key},
                {"value", encode_base64(stored.value)},
                {"revision", stored.revision},
                {"createdAt", stored.revision},
                {"lease", 0}};
    }

    std::pair<int, std::string> answer_call(const request& call) {
        const std::lock_guard lock(mutex_);
        const auto mark = call.target.find('?');
        const auto path = call.target.substr(0, mark);
        const auto query = mark == std::string::npos ? std::string() : call.target.substr(mark + 1);
        if (path == "/kv-range") {
            const auto prefix = parameter(query, "pathPrefix");
            const auto after = parameter(query, "after");
            json list = json::array();
            for (const auto& [key, stored] : items_) {
                if (key.compare(0, prefix.size(), prefix) == 0 && key > after) {
                    list.push_back(to_json(key, stored));
                }
            }
            return {200, json{{"items", list}, {"hasMore", false}, {"at", revision_}}.dump()};
        }
        if (path == "/kv-key") {
            const auto found = items_.find(parameter(query, "key"));
            if (found == items_.end()) {
                return {404, "{}"};
            }
            auto body = to_json(found->first, found->second);
            body["at"] = revision_;
            return {200, body.dump()};
        }
        return path == "/kv-txn" ? write(json::parse(call.body)) : std::make_pair(404, std::string("{}"));
    }

    std::pair<int, std::string> write(const json& call) {
        for (const auto& put : call.at("puts")) {
            const auto key = put.at("key").get<std::string>();
            if (key.compare(0, 3, "op/") == 0 || key.compare(0, 8, "servers/") == 0) {
                return {403, "{}"};
            }
        }
        json differing = json::array();
        bool holds = true;
        for (const auto& row : call.at("expectedRevision")) {
            const auto key = row.at("key").get<std::string>();
            const auto found = items_.find(key);
            const auto revision = found == items_.end() ? 0 : found->second.revision;
            holds = holds && revision == row.at("revision").get<std::uint64_t>();
            if (found != items_.end()) {
                differing.push_back(to_json(key, found->second));
            }
        }
        if (!holds) {
            return {412, json{{"items", differing}}.dump()};
        }
        ++revision_;
        for (const auto& put : call.at("puts")) {
            items_[put.at("key").get<std::string>()] = {decode_base64(put.at("value").get<std::string>()),
                                                        revision_};
        }
        return {200, json{{"revision", revision_}}.dump()};
    }

    std::mutex mutex_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 1;
    listener listener_;
};

// ---- engines

// An engine: reads requests and passes each to a handler, on the connection's thread. It registers itself and
// repeats its entry every 1.2 s, as the platform's engines do.
class engine {
  public:
    using handler = std::function<void(engine&, stream&, const request&)>;

    engine(store& at, std::string id, std::string service, int slots, handler handle)
        : store_(at), id_(std::move(id)), service_(std::move(service)), slots_(slots),
          handle_(std::move(handle)), born_(unix_ms()),
          listener_("127.0.0.1", [this](const stream_ptr& link) { serve(*link); }) {
        register_entry();
        std::thread([this] {
            while (true) {
                sleep_ms(1200);
                if (!down_) {
                    register_entry();
                }
            }
        }).detach();
    }

    const std::string& id() const { return id_; }
    const std::string& address() const { return listener_.address(); }

    // The process ends and is back after `down_ms`, as a new incarnation under its id. Returns false where it
    // is down already.
    bool crash(int down_ms) {
        if (down_.exchange(true)) {
            return false;
        }
        listener_.go_down();
        std::thread([this, down_ms] {
            sleep_ms(down_ms);
            born_ = unix_ms();
            listener_.come_back();
            down_ = false;
            register_entry();
        }).detach();
        return true;
    }

    bool down() const { return down_; }

    // The head lines that every answer of an engine has.
    static std::string head_lines(const request& asked) {
        const auto id = asked.field("x-request-id");
        return "X-Request-Id: " + id + "\r\nX-Server-Signature: sig." + id + "\r\n";
    }

    static std::string whole(const request& asked, int status, const std::string& body,
                             const std::string& more = {}) {
        return "HTTP/1.1 " + std::to_string(status) + " S\r\n" + head_lines(asked) + more +
               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    static std::string refusal(const request& asked) {
        return "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + asked.field("x-request-id") +
               "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    static std::string stream_head(const request& asked) {
        return "HTTP/1.1 200 OK\r\n" + head_lines(asked) +
               "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    static std::string chunk(const std::string& bytes) {
        char size[20];
        std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
        return size + bytes + "\r\n";
    }

    static std::string event(int id) {
        return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
    }

    // Runs a stream: an event every `gap` ms, then the end mark. Stops when the caller leaves. Returns
    // whether the whole stream was sent.
    static bool run_stream(stream& link, const request& asked, int events, int gap) {
        const auto last = asked.field("last-event-id");
        const int first = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        link.send(stream_head(asked));
        for (int i = first; i <= events; ++i) {
            if (!link.send(chunk(event(i))) || link.peer_closed(gap)) {
                return false;
            }
        }
        return link.send("0\r\n\r\n");
    }

  private:
    static std::int64_t unix_ms() {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void register_entry() {
        const json entry = {{"service", service_},  {"address", listener_.address()},
                            {"zone", "zone-a"},     {"version", "v1"},
                            {"slots", slots_},      {"state", "ready"},
                            {"coldRemainingMs", 0}, {"sequence", ++sequence_},
                            {"born", born_.load()}};
        store_.put("servers/" + id_, entry.dump());
    }

    void serve(stream& link) {
        while (const auto asked = read_request(link)) {
            if (asked->field("x-target-instance") != id_) {
                link.send("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: " + id_ + "\r\nX-Request-Id: " +
                          asked->field("x-request-id") + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            handle_(*this, link, *asked);
            if (!link.open()) {
                return;
            }
        }
    }

    store& store_;
    std::string id_;
    std::string service_;
    int slots_;
    handler handle_;
    std::atomic<std::int64_t> born_;
    std::atomic<bool> down_{false};
    std::atomic<int> sequence_{0};
    listener listener_;
};

// ---- the operator

struct route {
    std::string name;
    std::string kind;
    std::string service;
    int timeout_ms = 8000;
    int target_ms = 100;
    int attempts = 1;
    bool resumable = false;
};

// A configuration whose routes are /NAME/ on the host shop.example.
inline json make_config(int version, const std::vector<route>& routes, const json& tenants) {
    json list = json::array();
    std::map<std::string, bool> names;
    for (const auto& each : routes) {
        names[each.service] = true;
        list.push_back({{"name", each.name},
                        {"host", "shop.example"},
                        {"pathPrefix", "/" + each.name + "/"},
                        {"kind", each.kind},
                        {"service", each.service},
                        {"timeoutMs", each.timeout_ms},
                        {"targetLatencyMs", each.target_ms},
                        {"targetGapMs", 1200},
                        {"priority", 1},
                        {"maxAttempts", each.attempts},
                        {"resumable", each.resumable},
                        {"allowAnonymous", false}});
    }
    json services = json::array();
    for (const auto& [name, used] : names) {
        services.push_back({{"name", name}, {"maxConns", 360}, {"healthPath", "/health"}});
    }
    return {{"version", version},
            {"routes", list},
            {"services", services},
            {"limits",
             {{"maxHeaderBytes", 16384},
              {"maxBodyBytes", 1048576},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15000}}},
            {"tenants", tenants}};
}

// ---- the platform's handling of processes

inline std::string& case_folder() {
    static std::string folder;
    return folder;
}

// The repository's root; programs start there.
inline std::string root_folder() {
    return case_folder() + "/../..";
}

struct node_settings {
    std::string zone = "zone-a";
    int memory_mb = 110;
    int grace_s = 8;
    int revoke_ms = 5000;
};

// A node's process, started with the command of the deploy file and settings of the form of its template.
class node {
  public:
    node(int number, const std::string& store_address, const std::string& seeds_ip, const node_settings& with,
         const std::string& folder)
        : name_("front-" + std::to_string(number)), ip_("127.0.7." + std::to_string(number)), settings_(with),
          folder_(folder) {
        callers_ = ip_ + ":" + std::to_string(free_port(ip_));
        ready_ = ip_ + ":" + std::to_string(free_port(ip_));
        directory_ = ip_ + ":" + std::to_string(free_port(ip_));
        // Ports for the traffic between nodes are the same on all machines.
        static const int peers_port = free_port("127.0.7.1");
        const auto peers = ip_ + ":" + std::to_string(peers_port);
        const auto metrics = ip_ + ":" + std::to_string(free_port(ip_));
        path_ = folder_ + "/" + name_ + ".toml";
        std::ofstream file(path_);
        file << "[node]\nid = \"" << name_ << "\"\nfailure_domain = \"" << with.zone
             << "\"\nmemory_mb = " << with.memory_mb << "\ndescriptors = 4100\n\n[listen]\ncallers = \""
             << callers_ << "\"\nreadiness = \"" << ready_ << "\"\ndirectory = \"" << directory_
             << "\"\npeers = \"" << peers << "\"\nmetrics = \"" << metrics << "\"\n\n[peers]\nseeds = \""
             << seeds_ip << ":8229\"\n\n[store]\naddress = \"" << store_address
             << "\"\n\n[bounds]\nrevocation_ms = " << with.revoke_ms
             << "\nchange_ms = 2000\ngrace_s = " << with.grace_s
             << "\nentry_validity_s = 5\nsession_s = 5\nrepeat_ratio = 0.9\nrepeat_slack = 54\n"
                "repeat_window_s = 10\nexposure_share = 0.15\n";
    }

    void start() {
        const auto out = folder_ + "/" + name_ + ".log";
        const auto variable = "FIGSPOKE_NODE_FILE=" + path_;
        const auto root = root_folder();
        pid_ = ::fork();
        if (pid_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(out.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            if (::chdir(root.c_str()) != 0) {
                ::_exit(127);
            }
            const char* arguments[] = {"target/platform/figspoke-platform", nullptr};
            const char* environment[] = {"PATH=/usr/bin:/bin", "HOME=/tmp", "LANG=C", variable.c_str(),
                                         nullptr};
            ::execve(arguments[0], const_cast<char**>(arguments), const_cast<char**>(environment));
            ::_exit(127);
        }
        note("%s: started", name_.c_str());
    }

    // Waits until the readiness address answers 200.
    void wait_ready(int wait = 10000) {
        for (const auto until = now_ms() + wait; now_ms() < until; sleep_ms(50)) {
            if (is_ready()) {
                note("%s: ready", name_.c_str());
                return;
            }
            if (ended()) {
                break;
            }
        }
        give_up(name_ + " did not become ready; is the program of the deploy file built?");
    }

    bool is_ready() const {
        client asking;
        return asking.connect(ready_, 500) && asking.send("GET", "/ready", {{"Host", ready_}}) &&
               asking.read(500).status == 200;
    }

    void signal(int number) { ::kill(pid_, number); }

    // Returns whether the process has ended.
    bool ended() {
        if (pid_ <= 0) {
            return true;
        }
        int status = 0;
        if (::waitpid(pid_, &status, WNOHANG) == pid_) {
            note("%s: ended, %s %d", name_.c_str(), WIFSIGNALED(status) ? "signal" : "exit code",
                 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            pid_ = -1;
        }
        return pid_ <= 0;
    }

    void end() {
        if (pid_ > 0) {
            ::kill(pid_, SIGKILL);
            ::waitpid(pid_, nullptr, 0);
            pid_ = -1;
        }
    }

    // Resident memory of the process in MB.
    double memory_mb() const {
        std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return double(std::atol(line.c_str() + 6)) / 1024.0;
            }
        }
        return 0;
    }

    const std::string& name() const { return name_; }
    const std::string& callers() const { return callers_; }
    const std::string& directory() const { return directory_; }
    const node_settings& settings() const { return settings_; }

  private:
    std::string name_;
    std::string ip_;
    node_settings settings_;
    std::string folder_;
    std::string callers_;
    std::string ready_;
    std::string directory_;
    std::string path_;
    pid_t pid_ = -1;
};

inline std::vector<node*>& all_nodes() {
    static std::vector<node*> nodes;
    return nodes;
}

inline std::string& temporary_folder() {
    static std::string folder;
    return folder;
}

inline void begin(int argc, char** argv) {
    case_folder() = argc > 1 ? argv[1] : ".";
    record_file() = std::fopen((case_folder() + "/record.txt").c_str(), "w");
    if (record_file() == nullptr) {
        std::fprintf(stderr, "cannot write record.txt\n");
        std::_Exit(could_not_run);
    }
    ::signal(SIGPIPE, SIG_IGN);
    char pattern[] = "/tmp/figspoke-review-XXXXXX";
    temporary_folder() = ::mkdtemp(pattern);
    note("trouble: %s", trouble() ? "yes" : "no");
}

// Ends all processes that the case started and exits.
[[noreturn]] inline void leave(int code) {
    for (auto* each : all_nodes()) {
        each->end();
    }
    const char* keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr && !temporary_folder().empty()) {
        for (auto* each : all_nodes()) {
            ::unlink((temporary_folder() + "/" + each->name() + ".toml").c_str());
            ::unlink((temporary_folder() + "/" + each->name() + ".log").c_str());
        }
        ::rmdir(temporary_folder().c_str());
    }
    note("exit code %d", code);
    std::_Exit(code);
}

inline std::unique_ptr<node> make_node(int number, const store& at, const node_settings& with = {}) {
    auto made = std::make_unique<node>(number, at.address(), "127.0.7.1", with, temporary_folder());
    all_nodes().push_back(made.get());
    return made;
}

// Asks the nodes' directories in turn for addresses; empty if none answers.
inline std::vector<std::string> look_up(const std::vector<const node*>& nodes) {
    for (const auto* each : nodes) {
        client asking;
        if (!asking.connect(each->directory(), 1000) ||
            !asking.send("GET", "/lookup?name=shop.example&region=region-a&zone=zone-a",
                         {{"Host", each->directory()}})) {
            continue;
        }
        const auto got = asking.read(1000);
        const auto body = json::parse(got.body, nullptr, false);
        if (got.status == 200 && body.is_object() && body.contains("addresses")) {
            return body["addresses"].get<std::vector<std::string>>();
        }
    }
    return {};
}

// The head lines of a client's request.
inline headers request_fields(const std::string& id, const std::string& key, int deadline_ms) {
    return {{"Host", "shop.example"},
            {"X-Request-Id", id},
            {"X-Deadline-Ms", std::to_string(deadline_ms)},
            {"Api-Key", key}};
}

} // namespace kit
