#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

namespace figspoke::adapters {

/// What happens on connections, by the connection's number. All handlers run on the transport's strand.
struct transport_handlers {
    std::function<void(std::uint64_t connection)> on_open;
    std::function<void(std::uint64_t connection, std::string message)> on_message;
    /// A message was dropped because the peer reads too slowly.
    std::function<void(std::uint64_t connection)> on_queue_full;
    /// A ping or pong arrived.
    std::function<void(std::uint64_t connection)> on_activity;
    /// `protocol_error` where the peer broke the WebSocket protocol or the size limit.
    std::function<void(std::uint64_t connection, bool protocol_error)> on_closed;
};

/// WebSocket connections of binary messages in both roles. It knows nothing of peers. All methods but
/// `create` and `port` must run on the strand.
class mesh_transport {
  public:
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    struct limits {
        std::size_t message_bytes = 0;
        std::size_t queue_bytes = 0;
    };

    /// Listens on `IP:port`; throws `std::runtime_error` where it cannot.
    static std::shared_ptr<mesh_transport> create(boost::asio::io_context& context, const strand& executor,
                                                  const std::string& listen_address, limits bounds,
                                                  transport_handlers handlers);

    virtual ~mesh_transport() = default;

    virtual unsigned short port() const = 0;

    /// Begins to connect to `IP:port` and returns the connection's number; `on_open` or `on_closed` follows.
    virtual std::uint64_t dial(const std::string& address) = 0;

    /// Tells whether a connection was dialled from here. False for unknown connections.
    virtual bool is_dialled(std::uint64_t connection) const = 0;

    /// Queues a message; `on_queue_full` may follow. Returns false where there is no such connection.
    virtual bool send(std::uint64_t connection, std::string message) = 0;

    virtual void ping(std::uint64_t connection) = 0;

    /// Closes a connection at once, without waiting for its queue; `on_closed` follows.
    virtual void close(std::uint64_t connection) = 0;

    /// Closes everything and drops the handlers.
    virtual void stop() = 0;
};

} // namespace figspoke::adapters
