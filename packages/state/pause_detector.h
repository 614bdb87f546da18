#pragma once

#include <optional>

#include "core/time.h"

namespace figspoke::state {

/// How often the node ticks, and the pause after which it must check again what it relies on.
inline constexpr core::milliseconds pause_tick{50};
inline constexpr core::milliseconds long_pause{1000};

/// Measures the node's own pauses with its steady clock.
struct pause_detector {
    std::optional<core::steady_time> last_tick;
    /// When the last long pause ended.
    core::steady_time woke_at = core::steady_time::min();
};

/// Notes a tick. Returns the pause where it was a long one: the node must then read table, shards and leases
/// again before it serves.
std::optional<core::milliseconds> note_tick(pause_detector& detector, core::steady_time now);

/// The time before which nothing that was learned may be relied on. It covers a pause that no tick has noted
/// yet, so that a request that is handled first after it is caught.
core::steady_time reliable_since(const pause_detector& detector, core::steady_time now);

/// Two thirds of a lease's duration, after which its holder treats it as ended.
core::milliseconds usable_lease(core::milliseconds duration);

} // namespace figspoke::state
