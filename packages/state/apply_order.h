#pragma once

#include <optional>

#include "state/journal_entry.h"

namespace figspoke::state {

/// Returns the outcome of a claim that the order's record already decides; empty if the request may claim the
/// order.
std::optional<apply_result> recorded_claim_outcome(const journal_shard& shard, const order_claim& claim,
                                                   const apply_context& context);

/// Claims an order for which `recorded_claim_outcome` is empty. Returns `backlog_full` if the shard has no
/// room.
apply_result record_claim(journal_shard& shard, const order_claim& claim, apply_context& context);

/// Returns `duplicate` if the result must not replace the order's record; otherwise empty. Only claimed and
/// unknown orders change, except that `completed` replaces `refused`: an order that ran must never be claimed
/// again.
std::optional<apply_result> recorded_result_outcome(const journal_shard& shard, const order_result& result);

/// Records a result for which `recorded_result_outcome` is empty.
apply_result record_result(journal_shard& shard, const order_result& result, apply_context& context);

} // namespace figspoke::state
