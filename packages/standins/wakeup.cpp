#include "standins/wakeup.h"

namespace figspoke::standins {

namespace asio = boost::asio;

wakeup::wakeup(const asio::yield_context& yield) : timer_(yield.get_executor()) {}

bool wakeup::wait_until(core::steady_time deadline, const asio::yield_context& yield) {
    boost::system::error_code code;
    // A timer is not safe for concurrent use: the wait is started under the lock that `signal` takes.
    auto start = [this, deadline](auto handler) {
        const std::lock_guard lock(mutex_);
        timer_.expires_at(signalled_ ? core::steady_time::min() : deadline);
        timer_.async_wait(std::move(handler));
    };
    const auto token = yield[code];
    asio::async_initiate<const asio::yield_context, void(boost::system::error_code)>(start, token);
    const std::lock_guard lock(mutex_);
    const bool was_signalled = signalled_;
    signalled_ = false;
    return was_signalled;
}

void wakeup::signal() {
    const std::lock_guard lock(mutex_);
    signalled_ = true;
    timer_.cancel();
}

void wait_for(std::chrono::milliseconds duration, const asio::yield_context& yield) {
    if (duration.count() <= 0) {
        return;
    }
    boost::system::error_code code;
    asio::steady_timer timer(yield.get_executor(), duration);
    timer.async_wait(yield[code]);
}

} // namespace figspoke::standins
