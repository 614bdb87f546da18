#include "policy/answer_progress.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Least pace of a sound body, in bytes a second, after a first allowance of one stall timeout. The slowest
// links of callers and upstreams are a thousand times as fast.
constexpr std::int64_t min_body_pace = 1024;
// Pause of a stream after which it moves if its upstream is silent to all other requests too.
constexpr core::milliseconds silent_upstream_pause{1300};
// Pause after which a stream moves even if its upstream serves other requests. An engine under load stops a
// stream for seconds while it reads long prompts.
constexpr core::milliseconds longest_pause{4000};
// A stream that has begun moves with at least this part of its time left, so that it can finish elsewhere.
constexpr int time_left_divisor = 2;

} // namespace

core::milliseconds body_wait(const body_limits& limits, std::size_t received, core::steady_time now) {
    auto until = std::min(limits.deadline, now + limits.stall_timeout);
    if (limits.may_move) {
        const core::milliseconds paced(std::int64_t(received) * 1000 / min_body_pace);
        until = std::min(until, limits.begun_at + limits.stall_timeout + paced);
    }
    return std::max(std::chrono::ceil<core::milliseconds>(until - now), core::milliseconds(0));
}

stream_pauses allowed_pauses(const stream_progress& stream) {
    if (!stream.begun) {
        return {silent_upstream_pause + 2 * stream.expected,
                std::max(longest_pause, stream.latency_target) + 2 * stream.expected};
    }
    const auto with_time_left = std::max(silent_upstream_pause, stream.time_left / time_left_divisor);
    return {silent_upstream_pause, std::min(longest_pause, with_time_left)};
}

} // namespace figspoke::policy
