#include "adapters/http_server.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <optional>
#include <stdexcept>

#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "adapters/endpoint.h"

namespace figspoke::adapters {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;

// Bytes that a connection holds in any case: its stack, its buffers, a short
// head and a short body.
constexpr std::size_t connection_bytes = 32U * 1024;
constexpr std::size_t short_body_bytes = 16U * 1024;
// Bytes of a body that are received and not yet parsed. The parser asks for
// more until a chunk's extension or the trailers end, so it bounds these too.
constexpr std::size_t body_buffer_bytes = 16U * 1024;
constexpr std::size_t head_slack_bytes = 1024;
// Unit in which a longer body takes bytes from the budget.
constexpr std::size_t body_step_bytes = 64U * 1024;
// Pause before a connection that finds no room is tried again.
constexpr std::chrono::milliseconds room_pause{20};
// Time and bytes for which a refused connection goes on reading, so that its
// answer isn't lost.
constexpr std::chrono::milliseconds linger_time{1000};
constexpr std::size_t max_linger_bytes = 4U * 1024 * 1024;

// What ends the reading of a request early. Used on the connection's strand
// only.
struct read_watch {
    bool active = true;
    bool expired = false;
    bool gave_up = false;
};

using stream_ptr = std::shared_ptr<beast::tcp_stream>;

std::string lower_case(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

int hex_value(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lowered = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return lowered >= 'a' && lowered <= 'f' ? lowered - 'a' + 10 : -1;
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size() && hex_value(text[i + 1]) >= 0 &&
                            hex_value(text[i + 2]) >= 0;
        if (escape) {
            decoded.push_back(static_cast<char>(hex_value(text[i + 1]) * 16 + hex_value(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(std::string_view text) {
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const auto end = text.find('&');
        const auto item = text.substr(0, end);
        const auto equals = item.find('=');
        const auto value = equals == std::string_view::npos ? std::string_view() : item.substr(equals + 1);
        query[percent_decode(item.substr(0, equals))] = percent_decode(value);
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return query;
}

http_request convert_request(http::request<http::string_body>&& message) {
    http_request request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark != std::string::npos) {
        request.query = parse_query(std::string_view(target).substr(mark + 1));
    }
    for (const auto& field : message.base()) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        request.headers[lower_case(name)] = std::string(field.value());
    }
    request.body = std::move(message.body());
    return request;
}

template <class Message>
void set_headers(Message& message, const http_headers& headers) {
    for (const auto& [name, value] : headers) {
        message.set(name, value);
    }
}

class beast_exchange final : public http_exchange {
  public:
    beast_exchange(beast::tcp_stream& stream, const asio::yield_context& yield, http_request request,
                   bool keep_alive, const std::atomic<bool>& closing, std::chrono::milliseconds write_timeout)
        : stream_(stream), yield_(yield), request_(std::move(request)), keep_alive_(keep_alive),
          closing_(closing), write_timeout_(write_timeout) {}

    const http_request& request() const override { return request_; }

    const asio::yield_context& yield() const override { return yield_; }

    bool send(const http_reply& reply) override {
        http::response<http::string_body> message{static_cast<http::status>(reply.status), 11};
        set_headers(message, reply.headers);
        set_keep_alive(message);
        message.body() = reply.body;
        message.prepare_payload();
        beast::error_code code;
        stream_.expires_after(write_timeout_);
        http::async_write(stream_, message, yield_[code]);
        finished_ = !code;
        return finished_;
    }

    bool begin_stream(const http_reply& head) override {
        http::response<http::empty_body> message{static_cast<http::status>(head.status), 11};
        set_headers(message, head.headers);
        set_keep_alive(message);
        message.chunked(true);
        http::response_serializer<http::empty_body> serializer(message);
        beast::error_code code;
        stream_.expires_after(write_timeout_);
        http::async_write_header(stream_, serializer, yield_[code]);
        return !code;
    }

    bool write(std::string_view piece) override {
        beast::error_code code;
        stream_.expires_after(write_timeout_);
        asio::async_write(stream_, http::make_chunk(asio::buffer(piece.data(), piece.size())), yield_[code]);
        return !code;
    }

    bool end_stream() override {
        beast::error_code code;
        stream_.expires_after(write_timeout_);
        asio::async_write(stream_, http::make_chunk_last(), yield_[code]);
        finished_ = !code;
        return finished_;
    }

    bool may_continue() const { return finished_ && keep_alive_; }

  private:
    template <class Message>
    void set_keep_alive(Message& message) {
        keep_alive_ = keep_alive_ && !closing_.load();
        message.keep_alive(keep_alive_);
    }

    beast::tcp_stream& stream_;
    const asio::yield_context& yield_;
    http_request request_;
    bool keep_alive_;
    const std::atomic<bool>& closing_;
    std::chrono::milliseconds write_timeout_;
    bool finished_ = false;
};

int status_of(const beast::error_code& code) {
    if (code == http::error::body_limit || code == http::error::buffer_overflow) {
        return 413;
    }
    if (code == http::error::header_limit) {
        return 431;
    }
    if (code == asio::error::no_memory) {
        return 503;
    }
    return code == beast::error::timeout ? 408 : 400;
}

} // namespace

struct http_server::state : std::enable_shared_from_this<http_server::state> {
    state(asio::io_context& io, http_handler handle, http_error_body render, http_server_limits bounds)
        : context(io), acceptor(asio::make_strand(io)), handler(std::move(handle)),
          error_body(std::move(render)), limits(std::move(bounds)) {
        if (limits.memory) {
            limits.memory->lower_limit(policy::memory_share::connections,
                                       limits.connections * connection_bytes);
        }
    }

    void listen(const std::string& address) {
        const auto endpoint = listen_endpoint(address);
        beast::error_code code;
        acceptor.open(endpoint.protocol(), code);
        acceptor.set_option(asio::socket_base::reuse_address(true), code);
        acceptor.bind(endpoint, code);
        if (code) {
            throw std::runtime_error("cannot listen on " + address + ": " + code.message());
        }
        acceptor.listen(asio::socket_base::max_listen_connections, code);
        port = acceptor.local_endpoint().port();
    }

    void accept_loop() {
        asio::spawn(
            acceptor.get_executor(),
            [self = shared_from_this()](const asio::yield_context& yield) { self->accept(yield); },
            asio::detached);
    }

    void accept(const asio::yield_context& yield) {
        while (acceptor.is_open()) {
            beast::error_code code;
            // The timer that ends a slow read runs beside the coroutine, so both need
            // one strand.
            const auto strand = asio::make_strand(context);
            tcp::socket socket(strand);
            acceptor.async_accept(socket, yield[code]);
            if (code) {
                continue;
            }
            // Shared, as the function of a coroutine has to be copyable.
            const auto memory = std::make_shared<policy::memory_reservation>(
                open_reservation(policy::memory_share::connections));
            while (acceptor.is_open() && !has_place(*memory)) {
                asio::steady_timer pause(acceptor.get_executor(), room_pause);
                pause.async_wait(yield[code]);
            }
            socket.set_option(tcp::no_delay(true), code);
            auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
            ++connections;
            asio::spawn(
                strand,
                [self = shared_from_this(), stream, memory](const asio::yield_context& inner) {
                    self->serve(stream, *memory, inner);
                    --self->connections;
                },
                asio::detached);
        }
    }

    // Idle connections give their places to new ones only through the budget, so that their number alone must
    // not keep callers out.
    bool has_place(policy::memory_reservation& memory) const {
        return limits.memory ? memory.resize(connection_bytes, clock::now())
                             : connections.load() < limits.connections;
    }

    policy::memory_reservation open_reservation(policy::memory_share share) const {
        return limits.memory ? limits.memory->open(share) : policy::memory_reservation();
    }

    void serve(const stream_ptr& stream, policy::memory_reservation& memory,
               const asio::yield_context& yield) {
        beast::flat_buffer buffer;
        while (serve_one(stream, buffer, memory, yield)) {
            memory.progress(clock::now());
        }
        beast::error_code code;
        stream->socket().shutdown(tcp::socket::shutdown_send, code);
    }

    bool serve_one(const stream_ptr& stream, beast::flat_buffer& buffer,
                   policy::memory_reservation& connection_memory, const asio::yield_context& yield) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(limits.header_bytes);
        parser.body_limit(limits.body_bytes);
        beast::error_code code;
        if (!wait_for_first_byte(stream, buffer, connection_memory, yield)) {
            return false;
        }
        auto memory = open_reservation(policy::memory_share::requests);
        if (read_request(stream, buffer, parser, memory, code, yield); code) {
            std::string().swap(parser.get().body());
            memory.resize(0, clock::now());
            report_read_error(*stream, code, yield);
            return false;
        }
        // From here on an upstream may run the request.
        memory.forbid_yield();
        auto message = parser.release();
        const bool keep_alive = message.keep_alive();
        beast_exchange exchange(*stream, yield, convert_request(std::move(message)), keep_alive, closing,
                                limits.write_timeout);
        ++running;
        run_handler(exchange);
        --running;
        return exchange.may_continue() && acceptor.is_open();
    }

    // Lets others cancel what the connection waits for, from any thread.
    static std::function<bool()> give_up_function(const stream_ptr& stream,
                                                  const std::shared_ptr<read_watch>& watch) {
        return [kept = std::weak_ptr<beast::tcp_stream>(stream), watch] {
            const auto open = kept.lock();
            if (open == nullptr) {
                return true;
            }
            asio::post(open->get_executor(), [open, watch] {
                if (watch->active) {
                    watch->gave_up = true;
                    open->cancel();
                }
            });
            return true;
        };
    }

    // The timeout of the stream itself would close the connection, and the caller
    // could not be told.
    template <class Parser>
    void read_request(const stream_ptr& stream, beast::flat_buffer& buffer, Parser& parser,
                      policy::memory_reservation& memory, beast::error_code& code,
                      const asio::yield_context& yield) {
        asio::steady_timer timer(stream->get_executor(), limits.request_timeout);
        const auto watch = std::make_shared<read_watch>();
        timer.async_wait([stream, watch](const beast::error_code& ended) {
            if (!ended && watch->active) {
                watch->expired = true;
                stream->cancel();
            }
        });
        memory.allow_yield(give_up_function(stream, watch));
        stream->expires_never();
        buffer.max_size(std::max(limits.header_bytes + head_slack_bytes, buffer.capacity()));
        http::async_read_header(*stream, buffer, parser, yield[code]);
        if (!code) {
            read_body(*stream, buffer, parser, memory, code, yield);
        }
        watch->active = false;
        if (code && watch->gave_up) {
            code = asio::error::no_memory;
        } else if (code && watch->expired) {
            code = beast::error::timeout;
        }
    }

    // A body takes its bytes from the budget before they are read.
    template <class Parser>
    void read_body(beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser,
                   policy::memory_reservation& memory, beast::error_code& code,
                   const asio::yield_context& yield) {
        parser.eager(true);
        buffer.max_size(std::max(body_buffer_bytes, buffer.capacity()));
        if (parser.content_length_remaining().value_or(0) > short_body_bytes) {
            buffer.reserve(body_buffer_bytes);
        }
        while (!parser.is_done() && !code) {
            const auto wanted = parser.get().body().size() + body_buffer_bytes;
            if (wanted > std::max(memory.bytes(), 2 * short_body_bytes)) {
                const auto steps = (wanted + body_step_bytes - 1) / body_step_bytes;
                if (!memory.resize(steps * body_step_bytes, clock::now())) {
                    code = asio::error::no_memory;
                    return;
                }
                memory.progress(clock::now());
            }
            http::async_read_some(stream, buffer, parser, yield[code]);
        }
    }

    // Idle time between requests is bounded apart from the time to read a
    // request, so that a header that never ends is cut off early.
    bool wait_for_first_byte(const stream_ptr& stream, beast::flat_buffer& buffer,
                             policy::memory_reservation& memory, const asio::yield_context& yield) {
        if (buffer.size() > 0) {
            return true;
        }
        beast::error_code code;
        stream->expires_after(limits.idle_timeout);
        const auto watch = std::make_shared<read_watch>();
        memory.allow_yield(give_up_function(stream, watch));
        const auto size = stream->async_read_some(buffer.prepare(4096), yield[code]);
        watch->active = false;
        memory.forbid_yield();
        buffer.commit(size);
        return !code && size > 0;
    }

    // An exception must not pass through the coroutine: it would end the process.
    void run_handler(beast_exchange& exchange) {
        std::string thrown;
        try {
            handler(exchange);
        } catch (const std::exception& failure) {
            thrown = failure.what();
        }
        if (!thrown.empty()) {
            exchange.send(error_body(500, thrown));
        }
    }

    void report_read_error(beast::tcp_stream& stream, const beast::error_code& code,
                           const asio::yield_context& yield) {
        if (code == http::error::end_of_stream || code == asio::error::connection_reset) {
            return;
        }
        beast_exchange exchange(stream, yield, {}, false, closing, limits.write_timeout);
        exchange.send(error_body(status_of(code), code.message()));
        discard_input(stream, yield);
    }

    // Closing a socket with unread bytes resets the connection, and the reset may
    // overtake the last answer on its way to the caller.
    static void discard_input(beast::tcp_stream& stream, const asio::yield_context& yield) {
        beast::error_code code;
        stream.socket().shutdown(tcp::socket::shutdown_send, code);
        stream.expires_after(linger_time);
        std::array<char, 4096> discarded{};
        for (std::size_t total = 0; !code && total < max_linger_bytes;) {
            total += stream.async_read_some(asio::buffer(discarded), yield[code]);
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    http_handler handler;
    http_error_body error_body;
    http_server_limits limits;
    unsigned short port = 0;
    std::atomic<std::size_t> connections{0};
    std::atomic<std::size_t> running{0};
    std::atomic<bool> closing{false};
};

http_server::http_server(asio::io_context& context, const std::string& address, http_handler handler,
                         http_error_body error_body, http_server_limits limits)
    : state_(std::make_shared<state>(context, std::move(handler), std::move(error_body), std::move(limits))) {
    state_->listen(address);
    state_->accept_loop();
}

http_server::~http_server() {
    stop_accepting();
}

unsigned short http_server::port() const {
    return state_->port;
}

void http_server::announce_close() {
    state_->closing.store(true);
}

void http_server::stop_accepting() {
    asio::post(state_->acceptor.get_executor(), [self = state_] {
        beast::error_code code;
        self->acceptor.close(code);
    });
}

std::size_t http_server::running_requests() const {
    return state_->running.load();
}

} // namespace figspoke::adapters
