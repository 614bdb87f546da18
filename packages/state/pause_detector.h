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
    /// Set by a long pause until `clear_recheck`.
    bool recheck = false;
};

/// Notes a tick. Returns the pause where it was a long one; the node must then read table, shards and leases
/// again before it serves.
std::optional<core::milliseconds> note_tick(pause_detector& detector, core::steady_time now);

/// Tells whether the node may rely on what it knew, also between two ticks: a request that arrives first
/// after a pause is caught before the tick.
bool needs_recheck(const pause_detector& detector, core::steady_time now);

/// Notes that everything begun after the pause was checked again.
void clear_recheck(pause_detector& detector, core::steady_time now);

/// Two thirds of a lease's duration, after which its holder treats it as ended.
core::milliseconds usable_lease(core::milliseconds duration);

} // namespace figspoke::state
