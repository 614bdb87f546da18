#pragma once

#include <chrono>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/time.h"

namespace figspoke::adapters {

/// Suspends one coroutine until another thread signals it or a point in time is reached.
class wakeup {
  public:
    explicit wakeup(const boost::asio::any_io_executor& executor) : timer_(executor) {}

    /// Returns true where `signal` was called, before or during the wait, and consumes the signal.
    bool wait_until(core::steady_time deadline, const boost::asio::yield_context& yield);

    /// Wakes the coroutine. Safe to call from any thread.
    void signal();

  private:
    std::mutex mutex_;
    bool signalled_ = false;
    boost::asio::steady_timer timer_;
};

} // namespace figspoke::adapters
