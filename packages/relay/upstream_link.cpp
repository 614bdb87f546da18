#include "relay/upstream_link.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "adapters/answer_reader.h"
#include "adapters/endpoint.h"
#include "relay/connection_helpers.h"
#include "relay/watchdog.h"

namespace figspoke::relay {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint32_t max_answer_header_bytes = 64U * 1024;
constexpr std::size_t piece_bytes = 16U * 1024;
// Bytes that are received and not yet parsed. The parser asks for more until a header field, a chunk's
// extension or a trailer ends, so that an upstream could make an unlimited buffer grow without end.
constexpr std::size_t max_buffered_bytes = max_answer_header_bytes + 2 * piece_bytes;
// The kernel closes a connection whose sent bytes stay unacknowledged for this long (TCP_USER_TIMEOUT). The
// read timeouts cover an upstream that acknowledges but doesn't answer.
constexpr core::milliseconds user_timeout{3000};
// Subtracted from the idle timeout that the upstream states, as its timer starts earlier.
constexpr core::milliseconds keep_alive_margin{700};
// Idle timeout of a connection whose upstream states none.
constexpr core::milliseconds unstated_idle{2000};

using request_message = http::request<http::span_body<const char>>;

struct outgoing {
    std::shared_ptr<const std::string> body;
    request_message message;
};

} // namespace

struct upstream_link::impl {
    explicit impl(asio::io_context& context) : socket(context), timer(socket) {}

    link_error failure_of(const beast::error_code& code) const {
        if (closed_as_too_large || code == asio::error::no_memory) {
            return {link_failure::malformed, "the answer takes more memory than is left"};
        }
        if (timer.expired() || closed_as_timed_out) {
            return {link_failure::timed_out, "nothing came in time"};
        }
        const bool http_category = code.category() == make_error_code(http::error::bad_version).category();
        const bool ended = code == http::error::end_of_stream || code == http::error::partial_message;
        return {http_category && !ended ? link_failure::malformed : link_failure::broken, code.message()};
    }

    tcp::socket socket;
    watchdog timer;
    beast::flat_buffer buffer{max_buffered_bytes};
    adapters::answer_parser_ptr<http::buffer_body> parser;
    std::array<char, piece_bytes> piece{};
    bool head_request = false;
    bool written = true;
    bool write_failed = false;
    /// The write failed since the connection broke off before the upstream had ended its stream.
    bool reset = false;
    bool closed_as_timed_out = false;
    bool closed_as_too_large = false;
};

upstream_link::upstream_link(asio::io_context& context) : impl_(std::make_unique<impl>(context)) {}

upstream_link::~upstream_link() = default;

link_result<void> upstream_link::connect(const std::string& address, core::milliseconds timeout,
                                         const asio::yield_context& yield) {
    const auto endpoint = adapters::parse_endpoint(address);
    if (!endpoint) {
        return tl::make_unexpected(
            link_error{link_failure::not_connected, "the upstream address is not IP:port"});
    }
    beast::error_code code;
    impl_->timer.arm(timeout);
    impl_->socket.async_connect(*endpoint, yield[code]);
    impl_->timer.disarm();
    if (code) {
        const std::string cause = impl_->timer.expired() ? "connect timed out" : code.message();
        const bool refused = code == asio::error::connection_refused;
        return tl::make_unexpected(
            link_error{refused ? link_failure::refused : link_failure::not_connected, cause});
    }
    set_connection_options(impl_->socket, user_timeout);
    return {};
}

void upstream_link::start_request(const request_head& head, const header_list& headers,
                                  std::shared_ptr<const std::string> body) {
    auto out = std::make_shared<outgoing>();
    out->body = std::move(body);
    auto& message = out->message;
    message.version(11);
    message.method_string(head.method);
    message.target(head.target);
    for (const auto& [name, value] : headers) {
        message.insert(name, value);
    }
    const bool has_length = find_header(head.headers, "content-length") != nullptr ||
                            find_header(head.headers, "transfer-encoding") != nullptr;
    if (!out->body->empty() || has_length) {
        message.content_length(out->body->size());
    }
    message.body() = {out->body->data(), out->body->size()};
    impl_->head_request = head.method == "HEAD";
    impl_->parser.reset();
    impl_->written = false;
    http::async_write(impl_->socket, message,
                      [self = shared_from_this(), out](const beast::error_code& code, std::size_t) {
                          self->impl_->written = !code;
                          self->impl_->write_failed = bool(code);
                          self->impl_->reset = code && code != asio::error::broken_pipe;
                      });
}

link_result<answer_head> upstream_link::read_head(core::milliseconds read_timeout,
                                                  const std::function<bool(std::size_t)>& hold,
                                                  const asio::yield_context& yield) {
    const auto self = shared_from_this();
    const adapters::answer_limits limits{max_answer_header_bytes, std::nullopt, impl_->head_request};
    beast::error_code code;
    impl_->timer.arm(read_timeout);
    impl_->parser = adapters::read_answer_head<http::buffer_body>(impl_->socket, impl_->buffer, limits, hold,
                                                                  yield, code);
    impl_->timer.disarm();
    if (code) {
        return tl::make_unexpected(impl_->failure_of(code));
    }
    const auto& parser = *impl_->parser;
    answer_head head;
    head.status = static_cast<int>(parser.get().result_int());
    head.headers = copy_fields(parser.get());
    head.keep_alive = parser.get().keep_alive() && !parser.need_eof();
    return head;
}

// The kernel reports a broken connection once. If the write of the request takes the error, reads find an
// ordinary end of the stream, which would complete an answer without a length. EPIPE says that the upstream
// had ended its stream before.
link_result<std::string> upstream_link::read_some(core::milliseconds read_timeout,
                                                  const asio::yield_context& yield) {
    const auto self = shared_from_this();
    auto& parser = *impl_->parser;
    while (!parser.is_done()) {
        parser.get().body().data = impl_->piece.data();
        parser.get().body().size = impl_->piece.size();
        beast::error_code code;
        impl_->timer.arm(read_timeout);
        http::async_read_some(impl_->socket, impl_->buffer, parser, yield[code]);
        impl_->timer.disarm();
        const auto size = impl_->piece.size() - parser.get().body().size;
        if (code && code != http::error::need_buffer) {
            return tl::make_unexpected(impl_->failure_of(code));
        }
        if (size > 0) {
            return std::string(impl_->piece.data(), size);
        }
    }
    if (parser.need_eof() && impl_->reset) {
        return tl::make_unexpected(
            link_error{link_failure::broken, "the connection broke off during the request"});
    }
    return std::string();
}

bool upstream_link::answer_complete() const {
    return impl_->parser && impl_->parser->is_done();
}

bool upstream_link::ends_with_connection() const {
    return impl_->parser && impl_->parser->need_eof();
}

bool upstream_link::reusable() const {
    return answer_complete() && impl_->written && !impl_->write_failed && impl_->parser->get().keep_alive() &&
           !impl_->parser->need_eof() && impl_->buffer.size() == 0 && has_no_input();
}

bool upstream_link::has_no_input() const {
    return impl_->socket.is_open() && impl_->buffer.size() == 0 && !has_unread_bytes();
}

bool upstream_link::has_unread_bytes() const {
    if (!impl_->socket.is_open()) {
        return false;
    }
    char byte = 0;
    const auto size = ::recv(impl_->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void upstream_link::release_memory() {
    impl_->parser.reset();
    if (impl_->buffer.size() == 0 && impl_->buffer.capacity() > piece_bytes) {
        impl_->buffer.shrink_to_fit();
    }
}

void upstream_link::close() {
    impl_->timer.disarm();
    beast::error_code ignored;
    impl_->socket.close(ignored);
}

void upstream_link::close_as_timed_out() {
    impl_->closed_as_timed_out = true;
    close();
}

void upstream_link::close_as_too_large() {
    impl_->closed_as_too_large = true;
    close();
}

std::uint64_t upstream_link::stated_length() const {
    return impl_->parser ? impl_->parser->content_length().value_or(0) : 0;
}

upstream_link_ptr upstream_pool::take(const std::string& upstream, const std::string& request_id,
                                      core::steady_time now, core::milliseconds max_idle) {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const entry& pooled) { return pooled.upstream == upstream; });
    if (found == entries_.end()) {
        return nullptr;
    }
    auto& links = found->links;
    for (auto i = links.size(); i-- > 0;) {
        if (!state::may_carry(links.at(i)->history, request_id)) {
            continue;
        }
        auto link = std::move(links.at(i));
        links.erase(links.begin() + std::ptrdiff_t(i));
        const core::milliseconds allowed =
            link->idle_timeout
                ? std::min(max_idle, core::milliseconds(*link->idle_timeout) - keep_alive_margin)
                : std::min(max_idle, unstated_idle);
        if (now - link->used_at <= allowed && link->has_no_input()) {
            link->reused = true;
            return link;
        }
        link->close();
    }
    return nullptr;
}

void upstream_pool::keep(const std::string& upstream, upstream_link_ptr link, core::steady_time now) {
    link->used_at = now;
    auto found = std::find_if(entries_.begin(), entries_.end(),
                              [&](const entry& pooled) { return pooled.upstream == upstream; });
    if (found == entries_.end()) {
        entries_.push_back({upstream, {}});
        found = std::prev(entries_.end());
    }
    if (found->links.size() >= max_idle_ || state::is_used_up(link->history)) {
        link->close();
        return;
    }
    link->release_memory();
    found->links.push_back(std::move(link));
}

void upstream_pool::drop(const std::string& upstream) {
    for (auto& pooled : entries_) {
        if (pooled.upstream == upstream) {
            for (auto& link : pooled.links) {
                link->close();
            }
            pooled.links.clear();
        }
    }
}

void upstream_pool::expire(core::steady_time now, core::milliseconds max_idle) {
    for (auto& pooled : entries_) {
        auto& links = pooled.links;
        links.erase(std::remove_if(links.begin(), links.end(),
                                   [&](const upstream_link_ptr& link) {
                                       const bool kept =
                                           now - link->used_at <= max_idle && link->has_no_input();
                                       if (!kept) {
                                           link->close();
                                       }
                                       return !kept;
                                   }),
                    links.end());
    }
    entries_.erase(std::remove_if(entries_.begin(), entries_.end(),
                                  [](const entry& pooled) { return pooled.links.empty(); }),
                   entries_.end());
}

} // namespace figspoke::relay
