#pragma once

#include <optional>

#include "core/time.h"

namespace figspoke::state {

/// Interval of the ticks by which a node detects that it was paused, and the shortest pause after which it
/// must read its state again.
inline constexpr core::milliseconds pause_check_interval{50};
inline constexpr core::milliseconds long_pause_threshold{1000};

/// Detects pauses of the node itself by gaps between ticks on its steady clock.
struct pause_detector {
    std::optional<core::steady_time> last_tick;
    /// When the last long pause ended.
    core::steady_time pause_ended_at = core::steady_time::min();
};

/// Records a tick. Returns the time since the last tick if it was a long pause: the node must then read its
/// table, shards and leases again before it serves.
std::optional<core::milliseconds> record_tick(pause_detector& detector, core::steady_time now);

/// Returns the time from which observations are valid; earlier ones may be outdated by a pause. It accounts
/// for a pause that no tick has recorded yet, since a request may be handled before the first tick after the
/// pause.
core::steady_time observations_valid_since(const pause_detector& detector, core::steady_time now);

/// Returns two thirds of a lease's duration, after which its holder treats it as ended.
core::milliseconds usable_lease_duration(core::milliseconds duration);

} // namespace figspoke::state
