#include "state/pause_detector.h"

namespace figspoke::state {

std::optional<core::milliseconds> record_tick(pause_detector& detector, core::steady_time now) {
    const auto since_last = now - detector.last_tick.value_or(now);
    detector.last_tick = now;
    if (since_last <= long_pause_threshold) {
        return std::nullopt;
    }
    detector.pause_ended_at = now;
    return core::to_ms(since_last);
}

core::steady_time observations_valid_since(const pause_detector& detector, core::steady_time now) {
    const bool is_pause_unrecorded = detector.last_tick && now - *detector.last_tick > long_pause_threshold;
    return is_pause_unrecorded ? now : detector.pause_ended_at;
}

core::milliseconds usable_lease_duration(core::milliseconds duration) {
    return duration * 2 / 3;
}

} // namespace figspoke::state
