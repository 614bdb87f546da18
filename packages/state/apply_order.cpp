#include "state/apply_order.h"

#include <algorithm>

#include "state/shard_size.h"

namespace figspoke::state {
namespace {

apply_result unchanged(entry_outcome outcome) {
    apply_result result;
    result.outcome = outcome;
    return result;
}

apply_result changed() {
    apply_result result;
    result.changed = true;
    return result;
}

apply_result stored_answer(const order_record& record) {
    apply_result result = unchanged(entry_outcome::completed);
    result.status = record.status;
    result.body = record.body;
    result.body_dropped = record.body_dropped;
    return result;
}

bool has_room_for_claim(const journal_shard& shard, std::size_t size, const apply_context& context) {
    return context.claimed + shard.charges.size() < context.limits.max_open_entries &&
           context.bytes + size <= context.limits.claim_bytes;
}

entry_outcome outcome_of_claimed(const order_record& record, const order_claim& claim,
                                 const apply_context& context) {
    if (record.request_id == claim.request_id) {
        return entry_outcome::duplicate;
    }
    const bool gone = context.is_gone && context.is_gone(record.claimant);
    return gone ? entry_outcome::outcome_unknown : entry_outcome::in_progress;
}

void store_body(order_record& record, const std::string& body, apply_context& context) {
    const std::size_t size = encoded_size(body);
    record.body_dropped =
        body.size() > context.limits.max_stored_body || context.bytes + size > context.limits.answer_bytes;
    if (!record.body_dropped) {
        record.body = body;
        context.bytes += size;
    }
}

void store_result(journal_shard& shard, order_record& record, const order_result& ended,
                  apply_context& context) {
    if (record.state == order_state::claimed && context.claimed > 0) {
        --context.claimed;
    }
    record.request_id = ended.request_id;
    record.claimant = ended.claimant;
    record.state = ended.state;
    record.status = ended.status;
    record.changed_at = shard.clock;
    if (ended.state == order_state::completed) {
        store_body(record, ended.body, context);
    }
}

// A result may overtake the claim of its request. Its record keeps the late claim from being taken.
apply_result record_without_claim(journal_shard& shard, const order_result& ended, apply_context& context) {
    if (context.bytes > context.limits.answer_bytes) {
        return unchanged(entry_outcome::backlog_full);
    }
    order_record record;
    record.account = ended.account;
    record.body_sha256 = ended.body_sha256;
    record.state = order_state::unknown;
    store_result(shard, record, ended, context);
    context.bytes += key_bytes + encoded_size(record);
    shard.orders[ended.order_id] = std::move(record);
    return changed();
}

bool replaces(const order_result& ended, const order_record& record) {
    const bool same_request = record.request_id == ended.request_id;
    switch (record.state) {
    case order_state::claimed:
        return same_request;
    case order_state::unknown:
        return ended.state == order_state::completed || (same_request && ended.state == order_state::refused);
    case order_state::refused:
        return ended.state == order_state::completed;
    case order_state::completed:
        break;
    }
    return false;
}

} // namespace

std::optional<apply_result> recorded_claim(const journal_shard& shard, const order_claim& claim,
                                           const apply_context& context) {
    const auto found = shard.orders.find(claim.order_id);
    if (found == shard.orders.end()) {
        return std::nullopt;
    }
    const order_record& record = found->second;
    if (record.body_sha256 != claim.body_sha256) {
        return unchanged(entry_outcome::key_reused);
    }
    switch (record.state) {
    case order_state::claimed:
        return unchanged(outcome_of_claimed(record, claim, context));
    case order_state::completed:
        return stored_answer(record);
    case order_state::refused:
        // A repeat of an order that did not run may run it; the refused request itself may not.
        if (record.request_id != claim.request_id) {
            return std::nullopt;
        }
        return unchanged(entry_outcome::refused);
    case order_state::unknown:
        break;
    }
    return unchanged(entry_outcome::outcome_unknown);
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
        return unchanged(entry_outcome::backlog_full);
    }
    context.bytes += size;
    ++context.claimed;
    shard.orders[claim.order_id] = std::move(record);
    return changed();
}

std::optional<apply_result> recorded_result(const journal_shard& shard, const order_result& ended) {
    const auto found = shard.orders.find(ended.order_id);
    if (found == shard.orders.end() || replaces(ended, found->second)) {
        return std::nullopt;
    }
    return unchanged(entry_outcome::duplicate);
}

apply_result record_result(journal_shard& shard, const order_result& ended, apply_context& context) {
    const auto found = shard.orders.find(ended.order_id);
    if (found == shard.orders.end()) {
        return record_without_claim(shard, ended, context);
    }
    store_result(shard, found->second, ended, context);
    return changed();
}

} // namespace figspoke::state
