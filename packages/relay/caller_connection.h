#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "relay/wire_protocol.h"
#include "state/route_table.h"

namespace figspoke::relay {

/// A whole answer to a caller.
struct caller_answer {
    int status = 0;
    header_list headers;
    std::string body;
};

/// One request of a caller and the way back to it.
class caller_exchange {
  public:
    virtual ~caller_exchange() = default;

    virtual const request_head& head() const = 0;

    /// The body, shared with the sends that may outlive the exchange.
    virtual std::shared_ptr<const std::string> body() const = 0;

    /// Whether the caller closed its connection.
    virtual bool gone() const = 0;

    /// Sets what is called once when the caller closes its connection.
    virtual void on_gone(std::function<void()> handler) = 0;

    /// Sends a whole answer. Returns false where the caller is gone or reads too slowly.
    virtual bool send(const caller_answer& answer) = 0;

    /// Begins an answer whose pieces follow.
    virtual bool begin(int status, const header_list& headers) = 0;

    /// Sends a piece of the answer.
    virtual bool write(std::string_view piece) = 0;

    /// Ends the answer. Without this call the connection is closed in mid-answer, so that the answer doesn't
    /// look complete.
    virtual bool end() = 0;

    virtual const boost::asio::yield_context& yield() const = 0;
};

/// What the front server asks of the node.
struct caller_server_hooks {
    std::function<void(caller_exchange&)> serve;
    /// Bounds on what callers may send, at this moment.
    std::function<state::input_limits()> limits;
    /// Whether answers ask callers to leave the connection.
    std::function<bool()> leaving;
    /// Reports a request that was refused before it reached `serve`.
    std::function<void(int status, std::string_view reason)> refused;
};

/// Accepts callers' connections and reads their requests.
class caller_server {
  public:
    /// Listens on `IP:port`. Throws `std::runtime_error` where that fails.
    caller_server(boost::asio::io_context& context, const std::string& address, caller_server_hooks hooks,
                  std::size_t max_connections, std::size_t body_budget_bytes);
    ~caller_server();
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    unsigned short port() const;

    /// Closes the listening socket.
    void stop_accepting();

    /// Closes the connections on which no request is being read or served.
    void close_idle();

    /// Requests that are being read or served.
    std::size_t running() const;

    std::size_t connections() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace figspoke::relay
