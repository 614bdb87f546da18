#include "adapters/http_client.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <deque>
#include <mutex>
#include <optional>

#include <sys/socket.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "adapters/answer_reader.h"
#include "adapters/endpoint.h"

namespace figspoke::adapters {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t max_idle_per_address = 64;
constexpr std::uint32_t max_header_bytes = 16U * 1024;
constexpr std::size_t stream_buffer_bytes = 16U * 1024;
// Bytes that are received and not yet parsed. The parser asks for more until a chunk's size or extension or
// the trailer ends, so that an unlimited buffer would grow without end.
constexpr std::size_t max_buffered_bytes = max_header_bytes + 64U * 1024;

struct connection {
    explicit connection(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer{max_buffered_bytes};
};

// Ends an operation on a connection by closing its socket. A kept connection serves coroutines of different
// strands, so it has no timer of its own: the timer belongs to the coroutine, whose strand orders the timer's
// handler with the operations on the socket.
class operation_deadline {
  public:
    operation_deadline(connection& link, const asio::yield_context& yield)
        : shared_(std::make_shared<state>(link, yield.get_executor())) {}
    ~operation_deadline() { disarm(); }
    operation_deadline(const operation_deadline&) = delete;
    operation_deadline& operator=(const operation_deadline&) = delete;

    void arm(std::chrono::milliseconds timeout) {
        const auto turn = ++shared_->turn;
        shared_->timer.expires_after(timeout);
        shared_->timer.async_wait([shared = shared_, turn](const beast::error_code& code) {
            if (!code && shared->turn == turn) {
                shared->expired = true;
                beast::error_code ignored;
                shared->link->socket.close(ignored);
            }
        });
    }

    bool expired() const { return shared_->expired; }

  private:
    struct state {
        state(connection& connected, const asio::any_io_executor& executor)
            : link(&connected), timer(executor) {}
        connection* link;
        asio::steady_timer timer;
        std::uint64_t turn = 0;
        bool expired = false;
    };

    // A handler that is queued already finds that its turn is over.
    void disarm() {
        ++shared_->turn;
        shared_->timer.cancel();
    }

    std::shared_ptr<state> shared_;
};

using connection_ptr = std::unique_ptr<connection>;
using request_message = http::request<http::string_body>;

std::string lower_case(std::string_view text) {
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

template <class Fields>
http_headers copy_headers(const Fields& fields) {
    http_headers headers;
    for (const auto& field : fields) {
        // One field that is repeated means the same as one with the values joined (RFC 9110, 5.3).
        auto& value = headers[lower_case({field.name_string().data(), field.name_string().size()})];
        value += (value.empty() ? "" : ", ") + std::string(field.value());
    }
    return headers;
}

request_message build_request(const http_call& call) {
    request_message request;
    request.version(11);
    request.method_string(call.method);
    request.target(call.target);
    request.set(http::field::host, call.address);
    for (const auto& [name, value] : call.headers) {
        request.set(name, value);
    }
    request.keep_alive(call.reuse_connection);
    request.body() = call.body;
    request.prepare_payload();
    return request;
}

http_failure failure(call_progress progress, const beast::error_code& code, const std::string& doing,
                     const http_call& call, const operation_deadline& deadline) {
    // The end of the connection is reported in the parser's category too.
    const bool malformed = code.category() == make_error_code(http::error::bad_version).category() &&
                           code != http::error::end_of_stream && code != http::error::partial_message;
    const std::string cause = deadline.expired() ? "timed out" : code.message();
    return {progress, deadline.expired(), malformed, doing + " " + call.address + call.target + ": " + cause};
}

http_result<void> connect(connection& link, const http_call& call, operation_deadline& deadline,
                          const asio::yield_context& yield) {
    const auto endpoint = parse_endpoint(call.address);
    if (!endpoint || endpoint->port() == 0) {
        return tl::make_unexpected(http_failure{call_progress::not_sent, false, false,
                                                "address \"" + call.address + "\" is not IP:port"});
    }
    beast::error_code code;
    deadline.arm(call.timeout);
    link.socket.async_connect(*endpoint, yield[code]);
    if (code) {
        return tl::make_unexpected(failure(call_progress::not_sent, code, "connect to", call, deadline));
    }
    link.socket.set_option(asio::ip::tcp::no_delay(true), code);
    return {};
}

http_result<void> send_request(connection& link, const http_call& call, operation_deadline& deadline,
                               const asio::yield_context& yield) {
    beast::error_code code;
    deadline.arm(call.timeout);
    const auto request = build_request(call);
    http::async_write(link.socket, request, yield[code]);
    if (code) {
        return tl::make_unexpected(failure(call_progress::sent, code, "send to", call, deadline));
    }
    return {};
}

template <class Body>
http_result<answer_parser_ptr<Body>> read_head(connection& link, std::optional<std::uint64_t> body_limit,
                                               const http_call& call, const operation_deadline& deadline,
                                               const asio::yield_context& yield) {
    beast::error_code code;
    const auto hold = [](std::size_t) { return true; };
    auto parser = read_answer_head<Body>(link.socket, link.buffer, {max_header_bytes, body_limit, false},
                                         hold, yield, code);
    if (code) {
        return tl::make_unexpected(failure(call_progress::sent, code, "read the answer of", call, deadline));
    }
    // An upstream that names the request of its answer may send an earlier answer once more.
    const std::string id_header = "x-request-id";
    const auto& answer = parser->get();
    const auto sent = call.headers.find(id_header);
    const auto named = answer.find(id_header);
    if (sent != call.headers.end() && named != answer.end() && named->value() != sent->second) {
        return tl::make_unexpected(
            http_failure{call_progress::sent, false, true,
                         "the answer of " + call.address + call.target + " belongs to another request"});
    }
    return parser;
}

// An idle connection must have nothing to read: neither its end nor bytes of an earlier answer. A request
// is never repeated on a second connection, since it may have run on the first.
bool is_usable(connection& link) {
    char byte = 0;
    const auto size = ::recv(link.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::string header_or_empty(const http_headers& headers, const std::string& name) {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

struct http_client::state {
    explicit state(asio::io_context& io) : context(io) {}

    connection_ptr take_idle(const std::string& address) {
        const std::lock_guard lock(mutex);
        auto& links = idle[address];
        while (!links.empty()) {
            auto link = std::move(links.back());
            links.pop_back();
            if (is_usable(*link)) {
                return link;
            }
        }
        return nullptr;
    }

    void keep(const std::string& address, connection_ptr link) {
        const std::lock_guard lock(mutex);
        auto& links = idle[address];
        if (links.size() < max_idle_per_address) {
            links.push_back(std::move(link));
        }
    }

    // Takes an idle connection or makes one, sends the request and runs `read`.
    template <class Read>
    auto exchange(const http_call& call, const asio::yield_context& yield, Read read)
        -> decltype(read(std::declval<connection&>(), std::declval<operation_deadline&>())) {
        auto link = call.reuse_connection ? take_idle(call.address) : nullptr;
        const bool is_new = link == nullptr;
        if (is_new) {
            link = std::make_unique<connection>(context);
        }
        auto answer = converse(*link, is_new, call, yield, read);
        if (answer && call.reuse_connection && answer->second) {
            keep(call.address, std::move(link));
        }
        return answer;
    }

    template <class Read>
    static auto converse(connection& link, bool is_new, const http_call& call,
                         const asio::yield_context& yield, Read read)
        -> decltype(read(std::declval<connection&>(), std::declval<operation_deadline&>())) {
        operation_deadline deadline(link, yield);
        if (is_new) {
            if (auto connected = connect(link, call, deadline, yield); !connected) {
                return tl::make_unexpected(connected.error());
            }
        }
        if (auto sent = send_request(link, call, deadline, yield); !sent) {
            return tl::make_unexpected(sent.error());
        }
        return read(link, deadline);
    }

    asio::io_context& context;
    std::mutex mutex;
    std::map<std::string, std::deque<connection_ptr>> idle;
};

namespace {

// A reply and whether its connection may be kept.
using kept_reply = std::pair<http_reply, bool>;

http_result<kept_reply> read_whole(connection& link, const http_call& call, operation_deadline& deadline,
                                   const asio::yield_context& yield) {
    auto head = read_head<http::string_body>(link, max_answer_bytes, call, deadline, yield);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    auto& parser = **head;
    beast::error_code code;
    http::async_read(link.socket, link.buffer, parser, yield[code]);
    if (code) {
        return tl::make_unexpected(
            failure(call_progress::answer_begun, code, "read the answer of", call, deadline));
    }
    auto message = parser.release();
    http_reply reply{static_cast<int>(message.result_int()), copy_headers(message.base()),
                     std::move(message.body())};
    return kept_reply{std::move(reply), message.keep_alive()};
}

http_failure cancelled(const http_call& call) {
    return {call_progress::answer_begun, false, false, "exchange with " + call.address + " was cancelled"};
}

http_result<kept_reply> read_stream(connection& link, const http_call& call, const head_handler& on_head,
                                    const chunk_handler& on_chunk, operation_deadline& deadline,
                                    const asio::yield_context& yield) {
    auto head = read_head<http::buffer_body>(link, std::nullopt, call, deadline, yield);
    if (!head) {
        return tl::make_unexpected(head.error());
    }
    auto& parser = **head;
    http_reply reply{static_cast<int>(parser.get().result_int()), copy_headers(parser.get().base()), {}};
    if (!on_head(reply.status, reply.headers)) {
        return tl::make_unexpected(cancelled(call));
    }
    std::string piece(stream_buffer_bytes, '\0');
    while (!parser.is_done()) {
        parser.get().body().data = piece.data();
        parser.get().body().size = piece.size();
        beast::error_code code;
        deadline.arm(call.timeout);
        http::async_read_some(link.socket, link.buffer, parser, yield[code]);
        if (code && code != http::error::need_buffer) {
            return tl::make_unexpected(
                failure(call_progress::answer_begun, code, "read the stream of", call, deadline));
        }
        const std::size_t size = piece.size() - parser.get().body().size;
        if (size > 0 && !on_chunk(std::string_view(piece.data(), size))) {
            return tl::make_unexpected(cancelled(call));
        }
    }
    return kept_reply{std::move(reply), parser.get().keep_alive()};
}

http_result<http_reply> without_connection(http_result<kept_reply> answer) {
    if (!answer) {
        return tl::make_unexpected(std::move(answer.error()));
    }
    return std::move(answer->first);
}

} // namespace

http_client::http_client(asio::io_context& context) : state_(std::make_unique<state>(context)) {}

http_client::~http_client() = default;

http_result<http_reply> http_client::fetch(const http_call& call, const asio::yield_context& yield) {
    return without_connection(
        state_->exchange(call, yield, [&](connection& link, operation_deadline& deadline) {
            return read_whole(link, call, deadline, yield);
        }));
}

http_result<http_reply> http_client::stream(const http_call& call, const head_handler& on_head,
                                            const chunk_handler& on_chunk, const asio::yield_context& yield) {
    return without_connection(
        state_->exchange(call, yield, [&](connection& link, operation_deadline& deadline) {
            return read_stream(link, call, on_head, on_chunk, deadline, yield);
        }));
}

http_result<http_reply> fetch_blocking(const http_call& call) {
    asio::io_context context;
    http_client client(context);
    http_result<http_reply> answer;
    asio::spawn(
        asio::make_strand(context),
        [&](const asio::yield_context& yield) { answer = client.fetch(call, yield); },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
    return answer;
}

} // namespace figspoke::adapters
