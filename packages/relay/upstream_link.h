#pragma once

#include <functional>
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
#include "state/link_history.h"

namespace figspoke::relay {

/// Cause of a failed exchange with an upstream.
enum class link_failure {
    /// No connection was made, so no byte was sent.
    not_connected,
    /// The connection was refused because no process listens at the address; no byte was sent.
    refused,
    /// The upstream left or restarted while the connection was made; no byte was sent.
    withdrawn,
    /// The connection was reset or closed before the end of the answer.
    broken,
    /// The received bytes aren't an answer to this request.
    malformed,
    /// No byte was received within the timeout.
    timed_out
};

struct link_error {
    link_failure cause = link_failure::not_connected;
    std::string message;
};

template <class T>
using link_result = tl::expected<T, link_error>;

/// An HTTP connection to an upstream. Writes the request and reads the answer concurrently, since an upstream
/// may answer before it has read the body.
class upstream_link : public std::enable_shared_from_this<upstream_link> {
  public:
    explicit upstream_link(boost::asio::io_context& context);
    ~upstream_link();
    upstream_link(const upstream_link&) = delete;
    upstream_link& operator=(const upstream_link&) = delete;

    link_result<void> connect(const std::string& address, core::milliseconds timeout,
                              const boost::asio::yield_context& yield);

    /// Starts to write a request. Keeps `body` alive until it is written.
    void start_request(const request_head& head, const header_list& headers,
                       std::shared_ptr<const std::string> body);

    /// Reads the head of the answer. `hold` takes the memory for a head of so many bytes and returns false if
    /// there is none left.
    link_result<answer_head> read_head(core::milliseconds read_timeout,
                                       const std::function<bool(std::size_t)>& hold,
                                       const boost::asio::yield_context& yield);

    /// Reads the next bytes of the body. The result is empty at the end of the answer.
    link_result<std::string> read_some(core::milliseconds read_timeout,
                                       const boost::asio::yield_context& yield);

    /// Returns the length that the head of the answer states for its body, or 0.
    std::uint64_t stated_length() const;

    /// Returns whether the whole answer was read.
    bool answer_complete() const;

    /// Returns whether the answer ends only when the connection closes, for lack of a length or chunked
    /// coding.
    bool ends_with_connection() const;

    /// Returns whether another request may follow: the request is written, the answer is read, the upstream
    /// keeps the connection open, and no further bytes were received.
    bool reusable() const;

    /// Returns whether the connection is open and has neither bytes nor an end of stream to read.
    bool has_no_input() const;

    /// Returns whether bytes or the end of the stream have arrived that no operation has read yet.
    bool has_unread_bytes() const;

    /// Frees the memory of the last answer before the connection becomes idle.
    void release_memory();

    /// Closes the connection; pending operations fail.
    void close();

    /// Closes the connection after a stall; pending operations fail with `link_failure::timed_out`.
    void close_as_timed_out();

    /// Closes the connection of an answer that takes too much memory; pending operations fail with
    /// `link_failure::malformed`.
    void close_as_too_large();

    core::steady_time used_at{};
    std::optional<core::seconds> idle_timeout;
    bool reused = false;
    /// The requests that the connection has carried.
    state::link_history history;

  private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

using upstream_link_ptr = std::shared_ptr<upstream_link>;

/// Pool of idle connections to upstreams.
class upstream_pool {
  public:
    explicit upstream_pool(std::size_t max_idle_per_upstream) : max_idle_(max_idle_per_upstream) {}

    /// Returns an idle connection that was used at most `max_idle` ago and may carry the request, or null.
    upstream_link_ptr take(const std::string& upstream, const std::string& request_id, core::steady_time now,
                           core::milliseconds max_idle);

    void keep(const std::string& upstream, upstream_link_ptr link, core::steady_time now);

    /// Closes the idle connections of an upstream.
    void drop(const std::string& upstream);

    /// Closes connections that were idle for longer than `max_idle`, that the upstream has closed, or on
    /// which bytes arrived that belong to no answer.
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
