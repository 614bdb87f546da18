#include "state/apply_order.h"

#include <algorithm>

#include "state/shard_size.h"

namespace figspoke::state {
namespace {

apply_result unchanged_result(entry_outcome outcome) {
    apply_result result;
    result.outcome = outcome;
    return result;
}

apply_result changed_result() {
    apply_result result;
    result.changed = true;
    return result;
}

apply_result stored_answer(const order_record& record) {
    apply_result result = unchanged_result(entry_outcome::completed);
    result.status = record.status;
    result.body = record.body;
    result.body_dropped = record.body_dropped;
    return result;
}

bool has_room_for_claim(const journal_shard& shard, std::size_t size, const apply_context& context) {
    return context.claimed_orders + shard.charges.size() < context.limits.max_open_entries &&
           context.estimated_bytes + size <= context.limits.claim_bytes;
}

entry_outcome claimed_order_outcome(const order_record& record, const order_claim& claim,
                                    const apply_context& context) {
    if (record.request_id == claim.request_id) {
        return entry_outcome::duplicate;
    }
    const bool claimant_ended = context.has_ended && context.has_ended(record.claimant);
    return claimant_ended ? entry_outcome::outcome_unknown : entry_outcome::in_progress;
}

void store_body(order_record& record, const std::string& body, apply_context& context) {
    const std::size_t size = encoded_size(body);
    record.body_dropped = body.size() > context.limits.max_stored_body ||
                          context.estimated_bytes + size > context.limits.answer_bytes;
    if (!record.body_dropped) {
        record.body = body;
        context.estimated_bytes += size;
    }
}

void store_result(journal_shard& shard, order_record& record, const order_result& result,
                  apply_context& context) {
    if (record.state == order_state::claimed && context.claimed_orders > 0) {
        --context.claimed_orders;
    }
    record.request_id = result.request_id;
    record.claimant = result.claimant;
    record.state = result.state;
    record.status = result.status;
    record.changed_at = shard.clock;
    if (result.state == order_state::completed) {
        store_body(record, result.body, context);
    }
}

// A result may arrive before the claim of its request. The record then prevents the late claim from being
// accepted.
apply_result record_unclaimed_result(journal_shard& shard, const order_result& result,
                                     apply_context& context) {
    if (context.estimated_bytes > context.limits.answer_bytes) {
        return unchanged_result(entry_outcome::backlog_full);
    }
    order_record record;
    record.account = result.account;
    record.body_sha256 = result.body_sha256;
    record.state = order_state::unknown;
    store_result(shard, record, result, context);
    context.estimated_bytes += key_bytes + encoded_size(record);
    shard.orders[result.order_id] = std::move(record);
    return changed_result();
}

bool may_replace(const order_result& result, const order_record& record) {
    const bool same_request = record.request_id == result.request_id;
    switch (record.state) {
    case order_state::claimed:
        return same_request;
    case order_state::unknown:
        return result.state == order_state::completed ||
               (same_request && result.state == order_state::refused);
    case order_state::refused:
        return result.state == order_state::completed;
    case order_state::completed:
        break;
    }
    return false;
}

} // namespace

std::optional<apply_result> recorded_claim_outcome(const journal_shard& shard, const order_claim& claim,
                                                   const apply_context& context) {
    const auto found = shard.orders.find(claim.order_id);
    if (found == shard.orders.end()) {
        return std::nullopt;
    }
    const order_record& record = found->second;
    if (record.body_sha256 != claim.body_sha256) {
        return unchanged_result(entry_outcome::key_reused);
    }
    switch (record.state) {
    case order_state::claimed:
        return unchanged_result(claimed_order_outcome(record, claim, context));
    case order_state::completed:
        return stored_answer(record);
    case order_state::refused:
        // Another request with the same key may run an order that did not run; the refused request may not.
        if (record.request_id != claim.request_id) {
            return std::nullopt;
        }
        return unchanged_result(entry_outcome::refused);
    case order_state::unknown:
        break;
    }
    return unchanged_result(entry_outcome::outcome_unknown);
}

apply_result record_claim(journal_shard& shard, const order_claim& claim, apply_context& context) {
    order_record record;
    record.account = claim.account;
    record.body_sha256 = claim.body_sha256;
    record.request_id = claim.request_id;
    record.claimant = claim.claimant;
    record.changed_at = shard.clock;
    const std::size_t size = key_bytes + encoded_size(record);
    if (!has_room_for_claim(shard, size, context)) {
        return unchanged_result(entry_outcome::backlog_full);
    }
    context.estimated_bytes += size;
    ++context.claimed_orders;
    shard.orders[claim.order_id] = std::move(record);
    return changed_result();
}

std::optional<apply_result> recorded_result_outcome(const journal_shard& shard, const order_result& result) {
    const auto found = shard.orders.find(result.order_id);
    if (found == shard.orders.end() || may_replace(result, found->second)) {
        return std::nullopt;
    }
    return unchanged_result(entry_outcome::duplicate);
}

apply_result record_result(journal_shard& shard, const order_result& result, apply_context& context) {
    const auto found = shard.orders.find(result.order_id);
    if (found == shard.orders.end()) {
        return record_unclaimed_result(shard, result, context);
    }
    store_result(shard, found->second, result, context);
    return changed_result();
}

} // namespace figspoke::state
