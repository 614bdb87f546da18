#include "relay/watchdog.h"

namespace figspoke::relay {

watchdog::watchdog(boost::asio::ip::tcp::socket& socket)
    : socket_(socket), timer_(socket.get_executor()), turn_(std::make_shared<std::uint64_t>(0)) {}

watchdog::~watchdog() {
    disarm();
}

void watchdog::arm(core::milliseconds timeout) {
    const auto turn = ++*turn_;
    timer_.expires_after(timeout);
    timer_.async_wait([this, alive = turn_, turn](const boost::system::error_code& code) {
        if (!code && *alive == turn) {
            expired_ = true;
            boost::system::error_code ignored;
            socket_.close(ignored);
        }
    });
}

void watchdog::disarm() {
    ++*turn_;
    timer_.cancel();
}

} // namespace figspoke::relay
