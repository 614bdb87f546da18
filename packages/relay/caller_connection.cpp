#include "relay/caller_connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <set>
#include <stdexcept>

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "adapters/framing.h"
#include "core/error_json.h"
#include "relay/boot_clock.h"
#include "relay/connection_helpers.h"
#include "relay/watchdog.h"

namespace figspoke::relay {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// A write that takes longer means that the caller is disconnected. Covers a lost packet and its
// retransmissions.
constexpr core::milliseconds write_timeout{10000};
// Maximum time to read a body after its head.
constexpr core::milliseconds body_timeout{20000};
// The kernel closes a connection whose sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT).
constexpr core::milliseconds user_timeout{10000};
// Pause after a failed accept, for example without free file descriptors.
constexpr core::milliseconds accept_pause{20};
// Time in which a request is expected on a new connection, or after an answer that did not announce the end
// of its connection, when the server stops. The request may be on its way, and closing the connection would
// lose it.
constexpr core::milliseconds next_request_time{250};
// Time and bytes for which a closing connection goes on reading, so that its last answer isn't lost.
constexpr core::milliseconds linger_time{500};
constexpr std::size_t max_linger_bytes = 1024U * 1024;
// The same after the refusal of a body that isn't read: a caller may read its answer only after it has sent
// the whole body.
constexpr core::milliseconds refused_linger_time{1000};
// Bytes that a connection holds in any case: its stack, its buffers, a short head and a short body.
constexpr std::size_t connection_bytes = 32U * 1024;
// Part of a head that `connection_bytes` covers. A longer one takes more bytes from the budget.
constexpr std::size_t short_head_bytes = 4U * 1024;
// Bytes beyond the head's limit that are read with a head.
constexpr std::size_t head_slack_bytes = 1024;
// Bytes of a body that `connection_bytes` covers.
constexpr std::size_t short_body_bytes = 16U * 1024;
// Bytes of a body that are received and not yet parsed. The parser asks for more until a chunk's extension or
// the trailers end, so it bounds these too.
constexpr std::size_t body_buffer_bytes = 16U * 1024;
// Unit in which a longer body takes bytes from the budget. A connection makes progress when it has sent one.
constexpr std::size_t body_step_bytes = 64U * 1024;
// Bytes of the extensions of all chunks of a body. Ordinary clients send none.
constexpr std::size_t max_extension_bytes = 16U * 1024;
// Memory of one header field beside its text, in the parser and in the copy.
constexpr std::size_t field_bytes = 192;

using parser_type = http::request_parser<http::string_body>;

struct server_shared {
    caller_server_hooks hooks;
    policy::memory_budget* memory = nullptr;
    std::size_t running = 0;
    std::set<class connection*> connections;
};

int status_of(const beast::error_code& code, bool timed_out) {
    if (timed_out) {
        return 408;
    }
    if (code == http::error::header_limit || code == http::error::buffer_overflow) {
        return 431;
    }
    return code == http::error::body_limit ? 413 : 400;
}

core::error_kind kind_of(int status) {
    switch (status) {
    case 408:
        return core::error_kind::request_timeout;
    case 413:
    case 431:
        return core::error_kind::payload_too_large;
    case 503:
        return core::error_kind::overloaded;
    default:
        return core::error_kind::bad_request;
    }
}

// A body with its bytes in the budget, which writes to upstreams may keep beyond the exchange.
struct held_body {
    policy::memory_reservation memory;
    std::string bytes;
};

// Returns the memory that header fields take in the parser and in the copy.
std::size_t held_bytes(const header_list& headers) {
    std::size_t bytes = 0;
    for (const auto& [name, value] : headers) {
        bytes += field_bytes + 2 * (name.size() + value.size());
    }
    return bytes;
}

std::size_t round_up(std::size_t bytes, std::size_t unit) {
    return (bytes + unit - 1) / unit * unit;
}

// Returns whether bytes were received that were not read yet.
bool has_received_bytes(tcp::socket& socket) {
    char byte = 0;
    return socket.is_open() && ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

class connection final : public caller_exchange, public std::enable_shared_from_this<connection> {
  public:
    connection(tcp::socket socket, std::shared_ptr<server_shared> shared, policy::memory_reservation memory)
        : socket_(std::move(socket)), watchdog_(socket_), shared_(std::move(shared)),
          memory_(std::move(memory)) {
        shared_->connections.insert(this);
    }

    ~connection() override { shared_->connections.erase(this); }

    void run(const asio::yield_context& yield) {
        yield_ = &yield;
        set_options();
        memory_.allow_yield(give_up_function(policy::memory_share::connections));
        while (socket_.is_open() && serve_next_request()) {
        }
        drain_input();
        close();
    }

    /// Returns whether the connection has neither a request that is being read or served nor one that may
    /// have arrived.
    bool idle() { return !busy_ && !awaits_request() && !has_unread_input(); }

    void close() {
        beast::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    const request_head& head() const override { return head_; }
    std::shared_ptr<const std::string> body() const override { return body_; }
    bool disconnected() const override { return disconnected_; }
    bool first_on_connection() const override { return !served_any_; }
    void on_disconnect(std::function<void()> handler) override { on_disconnect_ = std::move(handler); }
    const asio::yield_context& yield() const override { return *yield_; }

    // Writes without a copy of the body, and step by step, so that a caller who stops reading is noticed.
    bool send(const caller_answer& answer) override {
        http::response<http::span_body<const char>> message;
        set_head(message, answer.status, answer.headers);
        message.content_length(answer.body.size());
        if (!is_head_request() && answer.status != 204 && answer.status != 304) {
            message.body() = {answer.body.data(), answer.body.size()};
        }
        answer.memory.allow_yield([self = weak_from_this()] {
            const auto kept = self.lock();
            if (kept) {
                kept->report_limit(policy::to_string(policy::memory_share::answers));
                kept->close();
            }
            return true;
        });
        http::response_serializer<http::span_body<const char>> serializer(message);
        beast::error_code code;
        watchdog_.arm(write_timeout);
        while (!code && !serializer.is_done()) {
            http::async_write_some(socket_, serializer, (*yield_)[code]);
            answer.memory.progress(boot_now());
        }
        answer.memory.forbid_yield();
        return finish(!code);
    }

    bool begin(int status, const header_list& headers) override {
        http::response<http::empty_body> message;
        set_head(message, status, headers);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        beast::error_code code;
        watchdog_.arm(write_timeout);
        http::async_write_header(socket_, serializer, (*yield_)[code]);
        return check_write(code);
    }

    bool write(std::string_view piece) override {
        beast::error_code code;
        watchdog_.arm(write_timeout);
        asio::async_write(socket_, http::make_chunk(asio::buffer(piece.data(), piece.size())),
                          (*yield_)[code]);
        return check_write(code);
    }

    bool end() override {
        beast::error_code code;
        watchdog_.arm(write_timeout);
        asio::async_write(socket_, http::make_chunk_last(), (*yield_)[code]);
        return finish(!code);
    }

  private:
    void set_options() { set_connection_options(socket_, user_timeout); }

    bool awaits_request() const { return boot_now() - quiet_since_ < next_request_time; }

    bool has_unread_input() { return buffer_.size() > 0 || has_received_bytes(socket_); }

    // Closing a socket with unread bytes resets the connection, and the reset may overtake the last answer on
    // its way to the caller.
    void drain_input() {
        // Another connection has taken the place of one that gave it up.
        if (gave_up_place_ || (!body_unread_ && !has_received_bytes(socket_))) {
            return;
        }
        const auto most = body_unread_ ? std::max(body_limit_, max_linger_bytes) : max_linger_bytes;
        beast::error_code code;
        socket_.shutdown(tcp::socket::shutdown_send, code);
        watchdog_.arm(body_unread_ ? refused_linger_time : linger_time);
        std::array<char, 4096> discarded{};
        for (std::size_t total = 0; !code && total < most;) {
            total += socket_.async_read_some(asio::buffer(discarded), (*yield_)[code]);
        }
        watchdog_.disarm();
    }

    // Ends what the connection waits for, so that its bytes are free for others. A connection on which a
    // request has just arrived stays.
    std::function<bool()> give_up_function(policy::memory_share share) {
        return [self = weak_from_this(), share] {
            const auto link = self.lock();
            return link == nullptr || link->give_up(share);
        };
    }

    bool give_up(policy::memory_share share) {
        if (!busy_ && has_unread_input()) {
            return false;
        }
        gave_up_ = true;
        gave_up_place_ = gave_up_place_ || share == policy::memory_share::connections;
        beast::error_code ignored;
        socket_.cancel(ignored);
        return true;
    }

    void report_limit(std::string_view limit) {
        beast::error_code code;
        const auto remote = socket_.remote_endpoint(code);
        shared_->hooks.limited(code ? std::string() : remote.address().to_string(), limit);
    }

    // Waits for the first byte of a request, so that the header timeout starts there.
    bool wait_for_request(const state::input_limits& limits) {
        if (buffer_.size() > 0) {
            return true;
        }
        beast::error_code code;
        watchdog_.arm(limits.idle_timeout);
        socket_.async_wait(tcp::socket::wait_read, (*yield_)[code]);
        return !code;
    }

    bool serve_next_request() {
        const auto limits = shared_->hooks.limits();
        if (!wait_for_request(limits)) {
            return false;
        }
        busy_ = true;
        ++shared_->running;
        const bool keep_open = read_and_serve(limits);
        --shared_->running;
        busy_ = false;
        served_any_ = true;
        quiet_since_ = boot_now();
        return keep_open;
    }

    bool read_and_serve(const state::input_limits& limits) {
        parser_type parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        memory_.progress(boot_now());
        if (!read_head(parser, limits)) {
            return false;
        }
        // Other framing would permit request smuggling.
        if (!adapters::has_unambiguous_framing(parser.get())) {
            return refuse_with(400, "the framing of the body is ambiguous");
        }
        // Taken before the body is read, as the parser adds trailers to the fields of the head.
        head_ = request_head{std::string(parser.get().method_string()), std::string(parser.get().target()),
                             copy_fields(parser.get().base()), parser.get().keep_alive()};
        body_limit_ = std::size_t(limits.body_bytes);
        body_unread_ = !parser.is_done();
        const auto more = held_bytes(head_.headers);
        if (more > short_head_bytes && !memory_.resize(connection_bytes + more, boot_now())) {
            return refuse_for_memory(policy::memory_share::connections);
        }
        auto memory = shared_->memory->open(policy::memory_share::requests);
        const bool keep_open = read_body(parser, memory) && serve(parser, std::move(memory));
        release_head();
        return keep_open;
    }

    bool read_head(parser_type& parser, const state::input_limits& limits) {
        beast::error_code code;
        buffer_.max_size(std::max(short_head_bytes, buffer_.capacity()));
        watchdog_.arm(limits.header_timeout);
        http::async_read_header(socket_, buffer_, parser, (*yield_)[code]);
        if (code == http::error::buffer_overflow && buffer_.size() < limits.header_bytes) {
            if (!memory_.resize(connection_bytes + limits.header_bytes, boot_now())) {
                return refuse_for_memory(policy::memory_share::connections);
            }
            buffer_.max_size(limits.header_bytes + head_slack_bytes);
            http::async_read_header(socket_, buffer_, parser, (*yield_)[code]);
        }
        if (code == http::error::end_of_stream ||
            (code && !socket_.is_open() && !watchdog_.expired() && !gave_up_)) {
            return false;
        }
        return !code || refuse_after_error(code, "head");
    }

    // A body takes its bytes from the budget before they are read.
    bool read_body(parser_type& parser, policy::memory_reservation& memory) {
        beast::error_code code;
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            static const std::string go_ahead = "HTTP/1.1 100 Continue\r\n\r\n";
            asio::async_write(socket_, asio::buffer(go_ahead), (*yield_)[code]);
        }
        std::size_t extension_bytes = 0;
        auto count_extensions = [&](std::uint64_t, beast::string_view extensions, beast::error_code& failed) {
            extension_bytes += extensions.size();
            if (extension_bytes > max_extension_bytes) {
                failed = http::error::header_limit;
            }
        };
        parser.on_chunk_header(count_extensions);
        parser.eager(true);
        memory.allow_yield(give_up_function(policy::memory_share::requests));
        buffer_.max_size(std::max(body_buffer_bytes, buffer_.capacity()));
        if (parser.content_length_remaining().value_or(0) > short_body_bytes) {
            buffer_.reserve(body_buffer_bytes);
        }
        watchdog_.arm(body_timeout);
        while (!parser.is_done() && !code) {
            const auto size = parser.get().body().size();
            if (size + body_buffer_bytes > std::max(memory.bytes(), 2 * short_body_bytes)) {
                if (!memory.resize(round_up(size + body_buffer_bytes, body_step_bytes), boot_now())) {
                    drop_body(parser, memory);
                    return refuse_for_memory(policy::memory_share::requests);
                }
                memory.progress(boot_now());
                memory_.progress(boot_now());
            }
            http::async_read_some(socket_, buffer_, parser, (*yield_)[code]);
        }
        watchdog_.disarm();
        if (code) {
            drop_body(parser, memory);
        }
        return !code || refuse_after_error(code, "body");
    }

    static void drop_body(parser_type& parser, policy::memory_reservation& memory) {
        std::string().swap(parser.get().body());
        memory.resize(0, boot_now());
    }

    bool serve(parser_type& parser, policy::memory_reservation memory) {
        body_unread_ = false;
        auto whole = std::make_shared<held_body>();
        whole->bytes = std::move(parser.get().body());
        // From here on an upstream may run the request.
        memory.forbid_yield();
        memory_.forbid_yield();
        whole->memory = std::move(memory);
        body_ = std::shared_ptr<const std::string>(whole, &whole->bytes);
        whole.reset();
        finished_ = false;
        watch_for_disconnect();
        shared_->hooks.serve(*this);
        stop_watching();
        body_.reset();
        memory_.allow_yield(give_up_function(policy::memory_share::connections));
        return finished_ && keep_alive();
    }

    // An idle connection keeps only the bytes of an ordinary one.
    void release_head() {
        header_list().swap(head_.headers);
        if (buffer_.size() == 0 && buffer_.capacity() > short_head_bytes) {
            buffer_.shrink_to_fit();
        }
        memory_.resize(connection_bytes, boot_now());
        memory_.progress(boot_now());
    }

    // Detects that the caller disconnects by the end of its stream. Bytes of a pipelined request end the
    // watch, as they stay unread until the present request is answered.
    void watch_for_disconnect() {
        disconnected_ = false;
        on_disconnect_ = nullptr;
        watching_ = true;
        socket_.async_wait(tcp::socket::wait_read,
                           [self = shared_from_this(), id = ++watch_id_](const beast::error_code& code) {
                               self->handle_readable(code, id);
                           });
    }

    void handle_readable(const beast::error_code& code, std::uint64_t id) {
        if (!watching_ || id != watch_id_ || code == asio::error::operation_aborted) {
            return;
        }
        char byte = 0;
        const auto size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool closed = size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
        if (code || closed) {
            handle_disconnect();
        }
    }

    void handle_disconnect() {
        if (disconnected_) {
            return;
        }
        disconnected_ = true;
        if (const auto handler = std::move(on_disconnect_)) {
            handler();
        }
    }

    void stop_watching() {
        watching_ = false;
        on_disconnect_ = nullptr;
        beast::error_code ignored;
        if (socket_.is_open()) {
            socket_.cancel(ignored);
        }
    }

    template <class Message>
    void set_head(Message& message, int status, const header_list& headers) {
        message.result(static_cast<unsigned>(status));
        message.version(11);
        for (const auto& [name, value] : headers) {
            message.insert(name, value);
        }
        closing_ = closing_ || shared_->hooks.leaving();
        message.keep_alive(keep_alive());
    }

    bool keep_alive() const { return head_.keep_alive && !closing_; }

    bool is_head_request() const { return head_.method == "HEAD"; }

    bool check_write(const beast::error_code& code) {
        watchdog_.disarm();
        if (code) {
            handle_disconnect();
        }
        return !code;
    }

    bool finish(bool written) {
        watchdog_.disarm();
        finished_ = written;
        return written;
    }

    bool refuse_for_memory(policy::memory_share share) {
        report_limit(policy::to_string(share));
        return refuse_with(503, "the memory for " + std::string(policy::to_string(share)) + " is exhausted");
    }

    bool refuse_after_error(const beast::error_code& code, const char* part) {
        if (gave_up_) {
            report_limit(part);
            return refuse_with(503, "the memory that the connection held was needed for others");
        }
        if (code == asio::error::operation_aborted && !watchdog_.expired()) {
            return false;
        }
        if (watchdog_.expired() || code == asio::error::eof || code == asio::error::connection_reset ||
            code == http::error::partial_message) {
            shared_->hooks.refused(408,
                                   std::string(part) + " of the request was not received: " + code.message());
            return false;
        }
        return refuse_with(status_of(code, watchdog_.expired()), code.message());
    }

    // Closes the connection, as the bytes that follow may not be the start of a request.
    bool refuse_with(int status, const std::string& reason) {
        shared_->hooks.refused(status, reason);
        memory_.forbid_yield();
        head_ = request_head{};
        closing_ = true;
        body_unread_ = true;
        caller_answer answer{status,
                             {{"Content-Type", "application/json"}},
                             core::render_error({kind_of(status), reason, std::nullopt})};
        send(answer);
        return false;
    }

    tcp::socket socket_;
    watchdog watchdog_;
    std::shared_ptr<server_shared> shared_;
    policy::memory_reservation memory_;
    beast::flat_buffer buffer_;
    const asio::yield_context* yield_ = nullptr;
    request_head head_;
    std::shared_ptr<const std::string> body_;
    std::function<void()> on_disconnect_;
    std::uint64_t watch_id_ = 0;
    bool watching_ = false;
    bool disconnected_ = false;
    /// When the connection was accepted or its last answer ended.
    core::steady_time quiet_since_ = boot_now();
    bool busy_ = false;
    bool served_any_ = false;
    bool finished_ = false;
    bool closing_ = false;
    /// The connection had to give its bytes up for others.
    bool gave_up_ = false;
    /// These were the bytes of the connection itself.
    bool gave_up_place_ = false;
    /// The present request has a body that wasn't read to its end.
    bool body_unread_ = false;
    std::size_t body_limit_ = 0;
};

} // namespace

struct caller_server::state : std::enable_shared_from_this<caller_server::state> {
    state(asio::io_context& io, std::shared_ptr<server_shared> common)
        : context(io), acceptor(io), shared(std::move(common)) {}

    void listen(const std::string& address) {
        const auto endpoint = adapters::listen_endpoint(address);
        beast::error_code code;
        acceptor.open(endpoint.protocol(), code);
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
        acceptor.bind(endpoint, code);
        if (!code) {
            acceptor.listen(asio::socket_base::max_listen_connections, code);
        }
        if (code) {
            throw std::runtime_error("cannot listen on " + address + ": " + code.message());
        }
    }

    void accept(const asio::yield_context& yield) {
        while (acceptor.is_open()) {
            tcp::socket socket(context);
            beast::error_code code;
            acceptor.async_accept(socket, yield[code]);
            if (code == asio::error::operation_aborted) {
                return;
            }
            if (code) {
                adapters::sleep_for(accept_pause, yield);
                continue;
            }
            auto memory = shared->memory->open(policy::memory_share::connections);
            while (!memory.resize(connection_bytes, boot_now()) && acceptor.is_open()) {
                adapters::sleep_for(accept_pause, yield);
            }
            serve(std::move(socket), std::move(memory));
        }
    }

    void serve(tcp::socket socket, policy::memory_reservation memory) {
        auto link = std::make_shared<connection>(std::move(socket), shared, std::move(memory));
        asio::spawn(
            context, [link](const asio::yield_context& own) { link->run(own); }, asio::detached);
    }

    // Closing the listening socket resets the connections that the kernel has accepted for it, although their
    // callers may have sent a request already.
    void accept_pending() {
        beast::error_code code;
        acceptor.non_blocking(true, code);
        while (!code) {
            auto memory = shared->memory->open(policy::memory_share::connections);
            if (!memory.resize(connection_bytes, boot_now())) {
                return;
            }
            tcp::socket socket(context);
            acceptor.accept(socket, code);
            if (!code) {
                serve(std::move(socket), std::move(memory));
            }
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::shared_ptr<server_shared> shared;
};

caller_server::caller_server(asio::io_context& context, const std::string& address, caller_server_hooks hooks,
                             std::size_t max_connections, policy::memory_budget& memory) {
    auto shared = std::make_shared<server_shared>();
    shared->hooks = std::move(hooks);
    shared->memory = &memory;
    memory.lower_limit(policy::memory_share::connections, max_connections * connection_bytes);
    state_ = std::make_shared<state>(context, std::move(shared));
    state_->listen(address);
    asio::spawn(
        context, [self = state_](const asio::yield_context& yield) { self->accept(yield); }, asio::detached);
}

caller_server::~caller_server() {
    stop_accepting();
}

unsigned short caller_server::port() const {
    return state_->acceptor.local_endpoint().port();
}

void caller_server::stop_accepting() {
    if (state_->acceptor.is_open()) {
        state_->accept_pending();
    }
    beast::error_code ignored;
    state_->acceptor.close(ignored);
}

void caller_server::close_idle() {
    for (auto* link : state_->shared->connections) {
        if (link->idle()) {
            link->close();
        }
    }
}

std::size_t caller_server::running() const {
    return state_->shared->running;
}

std::size_t caller_server::unfinished() const {
    const auto& all = state_->shared->connections;
    return std::size_t(std::count_if(all.begin(), all.end(), [](auto* link) { return !link->idle(); }));
}

std::size_t caller_server::connections() const {
    return state_->shared->connections.size();
}

} // namespace figspoke::relay
