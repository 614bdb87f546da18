#pragma once

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/time.h"

namespace figspoke::relay {

/// Closes a socket when a time has passed, which ends the operations on it. Every connection of the relay has
/// one, since a connection may fall silent for good without an error. The socket must outlive it.
class watchdog {
  public:
    explicit watchdog(boost::asio::ip::tcp::socket& socket);
    ~watchdog();
    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;

    /// Replaces the time that runs.
    void arm(core::milliseconds timeout);

    void disarm();

    /// Whether the socket was closed for the time.
    bool expired() const { return expired_; }

  private:
    boost::asio::ip::tcp::socket& socket_;
    boost::asio::steady_timer timer_;
    /// Lets a queued handler find out that its time was replaced or the watchdog is gone.
    std::shared_ptr<std::uint64_t> turn_;
    bool expired_ = false;
};

} // namespace figspoke::relay
