#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "adapters/http_types.h"

namespace figspoke::adapters {

/// Receives a piece of a streamed answer's body; returns false to cancel the exchange.
using chunk_handler = std::function<bool(std::string_view)>;

/// Receives the status and headers of a streamed answer before its first piece; returns false to cancel.
using head_handler = std::function<bool(int, const http_headers&)>;

/// An HTTP/1.1 client with idle connections kept for each address. Safe for concurrent use; each coroutine
/// that calls it must run on a strand, as those of `spawn_coroutine` do.
class http_client {
  public:
    explicit http_client(boost::asio::io_context& context);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request and reads the whole answer, at most `max_answer_bytes`.
    http_result<http_reply> fetch(const http_call& call, const boost::asio::yield_context& yield);

    /// Sends a request and passes the answer on piece by piece. The returned reply has an empty body.
    /// A cancelled exchange closes its connection, so that no later call reads its bytes.
    http_result<http_reply> stream(const http_call& call, const head_handler& on_head,
                                   const chunk_handler& on_chunk, const boost::asio::yield_context& yield);

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// The largest answer that `fetch` reads, in bytes.
inline constexpr std::size_t max_answer_bytes = 8U * 1024 * 1024;

/// Sends one request on a connection of its own and blocks until the answer is read.
http_result<http_reply> fetch_blocking(const http_call& call);

} // namespace figspoke::adapters
