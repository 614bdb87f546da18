#pragma once

#include <chrono>
#include <functional>
#include <string_view>

#include "state/journal_entry.h"
#include "state/journal_shard.h"

namespace figspoke::state {

/// Inputs of `expire_records`: the idempotency window, the limits and which incarnations have ended.
struct expiry_rules {
    std::chrono::milliseconds window{std::chrono::hours{24}};
    shard_limits limits;
    std::function<bool(std::string_view incarnation)> has_ended;
};

/// Advances the shard clock by the time that its owner measured with a steady clock while it owned the shard.
/// The intervals of two owners never overlap: one ends when the old owner built its last written batch, the
/// next starts when the new owner read that batch. The shard clock therefore never runs ahead of real time,
/// records are kept for at least the idempotency window, and clocks of different machines are never compared.
/// Time during which the shard has no owner is not counted.
void advance_shard_clock(journal_shard& shard, std::chrono::milliseconds elapsed);

/// Marks claimed orders of ended nodes as unknown; removes finished orders, charged keys and ended writers
/// that have not changed within the window; drops the oldest stored answers and charged keys if the shard
/// exceeds its limits.
void expire_records(journal_shard& shard, const expiry_rules& rules);

} // namespace figspoke::state
