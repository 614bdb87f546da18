#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <tl/expected.hpp>

#include "core/time.h"
#include "relay/wire_protocol.h"

namespace figspoke::relay {

/// How far a conversation with an upstream got when it failed.
enum class link_failure {
    /// No connection: no byte left this node.
    not_connected,
    /// The same, because nobody listens at the address.
    refused,
    /// The connection was reset or ended before a whole answer.
    broken,
    /// Bytes came that are not the answer to this request.
    malformed,
    /// Nothing came within the time given.
    silent
};

struct link_error {
    link_failure why = link_failure::not_connected;
    std::string message;
};

template <class T>
using link_result = tl::expected<T, link_error>;

/// The connection of one upstream that a request uses, from its head to the last byte of its answer. Reading
/// and writing go side by side, since an upstream may answer before it has read the body.
class upstream_link : public std::enable_shared_from_this<upstream_link> {
  public:
    explicit upstream_link(boost::asio::io_context& context);
    ~upstream_link();
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;

    link_result<void> connect(const std::string& address, core::milliseconds timeout,
                              const boost::asio::yield_context& yield);

    /// Starts to send a request; `body` is kept alive until it is written.
    void start_request(const request_head& head, const header_list& headers,
                       std::shared_ptr<const std::string> body);

    /// Reads the head of the answer.
    link_result<answer_head> read_head(core::milliseconds silence, const boost::asio::yield_context& yield);

    /// Reads the next bytes of the body; empty at the end of the answer.
    link_result<std::string> read_piece(core::milliseconds silence, const boost::asio::yield_context& yield);

    /// Whether the whole answer was read.
    bool answer_complete() const;

    /// Whether the end of the answer is marked by the end of the connection only.
    bool ends_with_connection() const;

    /// Whether another request may follow: the request is written, the answer is read, and nothing else came.
    bool reusable() const;

    /// Whether the connection is open and has nothing to read, neither bytes nor its end.
    bool quiet() const;

    /// Closes the connection; operations on it fail.
    void close();

    /// Closes the connection because its upstream is silent; operations on it fail with that cause.
    void give_up();

    core::steady_time used_at{};
    std::optional<core::seconds> idle_timeout;
    bool reused = false;

  private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

using upstream_link_ptr = std::shared_ptr<upstream_link>;

/// Idle connections to upstreams.
class upstream_pool {
  public:
    explicit upstream_pool(std::size_t max_idle_per_upstream) : max_idle_(max_idle_per_upstream) {}

    /// Returns an idle connection that was used at most `max_idle` ago, or null.
    upstream_link_ptr take(const std::string& upstream, core::steady_time now, core::milliseconds max_idle);

    void keep(const std::string& upstream, upstream_link_ptr link, core::steady_time now);

    /// Closes the idle connections of an upstream.
    void drop(const std::string& upstream);

    /// Closes connections that were idle for longer than `max_idle`.
    void expire(core::steady_time now, core::milliseconds max_idle);

  private:
    struct entry {
        std::string upstream;
        std::vector<upstream_link_ptr> links;
    };
    std::size_t max_idle_;
    std::vector<entry> entries_;
};

} // namespace figspoke::relay
