#include "adapters/wakeup.h"

namespace figspoke::adapters {

namespace asio = boost::asio;

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

} // namespace figspoke::adapters
