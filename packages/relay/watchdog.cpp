#include "relay/watchdog.h"

namespace figspoke::relay {

watchdog::watchdog(boost::asio::ip::tcp::socket& socket)
    : socket_(socket), timer_(socket.get_executor()), generation_(std::make_shared<std::uint64_t>(0)) {}

watchdog::~watchdog() {
    disarm();
}

void watchdog::arm(core::milliseconds timeout) {
    const auto generation = ++*generation_;
    timer_.expires_after(timeout);
    timer_.async_wait([this, alive = generation_, generation](const boost::system::error_code& code) {
        if (!code && *alive == generation) {
            expired_ = true;
            boost::system::error_code ignored;
            socket_.close(ignored);
        }
    });
}

void watchdog::disarm() {
    ++*generation_;
    timer_.cancel();
}

} // namespace figspoke::relay
