#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/time.h"

namespace figspoke::relay {

/// Closes a socket after a timeout, which ends the pending operations on it. Every connection of the relay
/// has a watchdog, since a connection may stall forever without an error. The socket must outlive the
/// watchdog.
class watchdog {
  public:
    explicit watchdog(boost::asio::ip::tcp::socket& socket);
    ~watchdog();
    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;

    /// Starts the timeout; replaces one that is already running.
    void arm(core::milliseconds timeout);

    void disarm();

    /// Returns whether the timeout has closed the socket.
    bool expired() const { return expired_; }

  private:
    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    /// Incremented when a timeout is replaced or cancelled, so that a queued handler of an earlier one does
    /// nothing, even after the watchdog's destruction.
    std::shared_ptr<std::uint64_t> generation_;
    bool expired_ = false;
};

} // namespace figspoke::relay
