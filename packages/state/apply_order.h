#pragma once

#include <optional>

#include "state/journal_entry.h"

namespace figspoke::state {

/// Returns why a claim needs no write; empty where the request may claim the order.
std::optional<apply_result> recorded_claim(const journal_shard& shard, const order_claim& claim,
                                           const apply_context& context);

/// Claims an order for which `recorded_claim` is empty, where there is room.
apply_result record_claim(journal_shard& shard, const order_claim& claim, apply_context& context);

/// Returns `duplicate` where the result may not replace the record. Only a claimed or unknown order changes,
/// except that `completed` replaces `refused`: an order that ran must never be claimed again.
std::optional<apply_result> recorded_result(const journal_shard& shard, const order_result& ended);

/// Records a result for which `recorded_result` is empty.
apply_result record_result(journal_shard& shard, const order_result& ended, apply_context& context);

} // namespace figspoke::state
