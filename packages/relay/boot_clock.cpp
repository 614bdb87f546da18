#include "relay/boot_clock.h"

#include <ctime>

namespace figspoke::relay {

core::steady_time boot_now() {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return core::steady_time(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

core::milliseconds unix_time() {
    return core::to_ms(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace figspoke::relay
