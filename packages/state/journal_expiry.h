#pragma once

#include <chrono>
#include <functional>
#include <string_view>

#include "state/journal_entry.h"
#include "state/journal_shard.h"

namespace figspoke::state {

/// What expiry needs to know: the idempotency window, the bounds and which incarnations have ended.
struct expiry_rules {
    std::chrono::milliseconds window{std::chrono::hours{24}};
    shard_limits limits;
    std::function<bool(std::string_view incarnation)> is_gone;
};

/// Advances the shard clock by time that the owner measured with its steady clock while it held the shard.
/// The intervals of two owners never overlap: one ends when its last written batch was built, the next
/// starts when the new owner has read that batch. So the shard clock never runs ahead of real time, records
/// live at least as long as the window says, and no two machines' clocks are compared. Time without an owner
/// is not counted.
void advance_shard_clock(journal_shard& shard, std::chrono::milliseconds elapsed);

/// Marks claimed orders of ended nodes as unknown; removes finished orders, charged keys and ended writers
/// that have not changed within the window; and drops the oldest stored answers and charged keys where the
/// shard is over its bounds.
void expire_records(journal_shard& shard, const expiry_rules& rules);

} // namespace figspoke::state
