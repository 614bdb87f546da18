#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "adapters/http_types.h"
#include "policy/memory_budget.h"

namespace figspoke::adapters {

/// The server's side of one request: sends one whole answer, or one streamed
/// answer.
class http_exchange {
  public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /// Sends a whole answer. Returns false where the caller is gone or reads too
    /// slowly.
    virtual bool send(const http_reply& reply) = 0;

    /// Begins a streamed answer with the reply's status and headers.
    virtual bool begin_stream(const http_reply& head) = 0;

    /// Sends a piece of a streamed answer. Returns false where the caller is gone
    /// or reads too slowly.
    virtual bool write(std::string_view piece) = 0;

    /// Ends a streamed answer. Without this call the connection is closed in
    /// mid-answer.
    virtual bool end_stream() = 0;

    /// The coroutine that serves this exchange, for calls that suspend it.
    virtual const boost::asio::yield_context& yield() const = 0;
};

using http_handler = std::function<void(http_exchange&)>;

/// Bounds of an HTTP server.
struct http_server_limits {
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 4U * 1024 * 1024;
    /// Time to read a whole request once its first byte arrived.
    std::chrono::milliseconds request_timeout{10000};
    /// Time that a connection may stay open between two requests.
    std::chrono::milliseconds idle_timeout{60000};
    /// Time that a caller may take to read a piece of an answer.
    std::chrono::milliseconds write_timeout{10000};
    std::size_t connections = 10000;
    /// Memory for connections and bodies; null if it isn't bounded.
    std::shared_ptr<policy::memory_budget> memory;
};

/// Renders the body of an error that the server itself reports: too large, too
/// slow or malformed.
using http_error_body = std::function<http_reply(int status, std::string_view what)>;

/// An HTTP/1.1 server. Each connection is served by a coroutine on the
/// context's threads.
class http_server {
  public:
    /// Binds to `IP:port` (port 0 picks one). Throws `std::runtime_error` where
    /// that fails.
    http_server(boost::asio::io_context& context, const std::string& address, http_handler handler,
                http_error_body error_body, http_server_limits limits = {});
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port that the server listens on.
    unsigned short port() const;

    /// From now on each answer that begins announces the end of its connection.
    void announce_close();

    /// Stops accepting connections; requests that run are finished.
    void stop_accepting();

    /// The number of requests being served.
    std::size_t running_requests() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace figspoke::adapters
