#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "policy/memory_budget.h"
#include "relay/wire_protocol.h"
#include "state/route_table.h"

namespace figspoke::relay {

/// A complete HTTP answer to a caller.
struct caller_answer {
    int status = 0;
    header_list headers;
    std::string body;
    /// The body's bytes in the budget, if it is long.
    policy::memory_reservation memory{};
};

/// A caller's request and the functions that answer it.
class caller_exchange {
  public:
    virtual ~caller_exchange() = default;

    virtual const request_head& head() const = 0;

    /// Returns the body. It is shared with writes to upstreams, which may outlive the exchange.
    virtual std::shared_ptr<const std::string> body() const = 0;

    /// Returns whether the caller has closed its connection.
    virtual bool disconnected() const = 0;

    /// Returns whether the connection has carried no other request.
    virtual bool first_on_connection() const = 0;

    /// Sets a handler that is called once when the caller closes its connection.
    virtual void on_disconnect(std::function<void()> handler) = 0;

    /// Sends a complete answer. Returns false if the caller has disconnected or reads too slowly.
    virtual bool send(const caller_answer& answer) = 0;

    /// Sends the head of a streamed answer.
    virtual bool begin(int status, const header_list& headers) = 0;

    /// Sends the next bytes of a streamed answer as one chunk.
    virtual bool write(std::string_view piece) = 0;

    /// Ends a streamed answer. Without this call the connection closes before the last chunk, so that the
    /// caller can tell that the answer is incomplete.
    virtual bool end() = 0;

    virtual const boost::asio::yield_context& yield() const = 0;
};

/// Functions of the node that the server for callers uses.
struct caller_server_hooks {
    std::function<void(caller_exchange&)> serve;
    /// Returns the present limits on requests of callers.
    std::function<state::input_limits()> limits;
    /// Returns whether answers tell callers that the connection will close.
    std::function<bool()> leaving;
    /// Reports a request that was refused before it reached `serve`.
    std::function<void(int status, std::string_view reason)> refused;
    /// Reports a connection of this client address that reached a limit on memory.
    std::function<void(const std::string& client, std::string_view limit)> limited;
};

/// Accepts callers' connections and reads their requests.
class caller_server {
  public:
    /// Listens on `IP:port`. Throws `std::runtime_error` where that fails.
    caller_server(boost::asio::io_context& context, const std::string& address, caller_server_hooks hooks,
                  std::size_t max_connections, policy::memory_budget& memory);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    unsigned short port() const;

    /// Accepts the connections that callers have already made and closes the listening socket.
    void stop_accepting();

    /// Closes the connections without a request that is being read or served or that may have arrived.
    void close_idle();

    /// Returns the number of connections that `close_idle` keeps.
    std::size_t unfinished() const;

    /// Returns the number of requests that are being read or served.
    std::size_t running() const;

    std::size_t connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace figspoke::relay
