#include "state/journal_entry.h"

#include <algorithm>
#include <utility>

#include "state/apply_charge.h"
#include "state/apply_order.h"
#include "state/shard_size.h"

namespace figspoke::state {

apply_context make_apply_context(const journal_shard& shard, const shard_limits& limits,
                                 std::function<bool(std::string_view incarnation)> has_ended) {
    apply_context context;
    context.limits = limits;
    context.has_ended = std::move(has_ended);
    context.estimated_bytes = estimate_bytes(shard);
    context.claimed_orders = static_cast<std::size_t>(
        std::count_if(shard.orders.begin(), shard.orders.end(),
                      [](const auto& entry) { return entry.second.state == order_state::claimed; }));
    return context;
}

std::optional<apply_result> recorded_outcome(const journal_shard& shard, const journal_entry& entry,
                                             const apply_context& context) {
    if (const auto* claim = std::get_if<order_claim>(&entry)) {
        return recorded_claim_outcome(shard, *claim, context);
    }
    if (const auto* result = std::get_if<order_result>(&entry)) {
        return recorded_result_outcome(shard, *result);
    }
    return recorded_charge_outcome(shard, std::get<charge>(entry));
}

apply_result apply_entry(journal_shard& shard, const journal_entry& entry, apply_context& context) {
    if (auto recorded = recorded_outcome(shard, entry, context)) {
        return *std::move(recorded);
    }
    if (const auto* claim = std::get_if<order_claim>(&entry)) {
        return record_claim(shard, *claim, context);
    }
    if (const auto* result = std::get_if<order_result>(&entry)) {
        return record_result(shard, *result, context);
    }
    return record_charge(shard, std::get<charge>(entry), context);
}

} // namespace figspoke::state
