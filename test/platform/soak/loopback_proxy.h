#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace figspoke::soak {

/// What a proxy does to the bytes that pass it.
enum class link_fault {
    none,
    /// Each piece waits.
    delayed,
    /// Nothing passes in either direction, and nothing is closed.
    silent,
    /// Requests pass, answers don't.
    answers_cut,
    /// New connections are reset.
    reset
};

/// A TCP proxy on loopback whose faults are set from outside. Lives on the thread of its context.
class loopback_proxy {
  public:
    loopback_proxy(boost::asio::io_context& context, const std::string& target);
    ~loopback_proxy();
    loopback_proxy(const loopback_proxy&) = delete;
    loopback_proxy& operator=(const loopback_proxy&) = delete;

    std::string address() const;

    /// Applies to open connections and new ones.
    void set_fault(link_fault fault);

    /// Resets all open connections.
    void reset_all();

  private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

} // namespace figspoke::soak
