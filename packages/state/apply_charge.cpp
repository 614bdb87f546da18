#include "state/apply_charge.h"

#include <algorithm>

#include "state/shard_size.h"

namespace figspoke::state {
namespace {

void add_to_totals(journal_shard& shard, const charge& value, apply_context& context) {
    const auto [entry, inserted] = shard.totals.try_emplace(value.account);
    if (inserted) {
        context.estimated_bytes += encoded_size(value.account) + total_bytes;
    }
    account_total& total = entry->second;
    ++total.charges;
    total.micros += value.micros;
    total.internal_micros += value.internal_micros;
    total.prompt_tokens += value.prompt_tokens;
    total.generated_tokens += value.generated_tokens;
}

bool has_room(const journal_shard& shard, const charge& value, const apply_context& context) {
    return shard.charges.size() < context.limits.max_open_entries &&
           context.estimated_bytes + encoded_size(value) <= context.limits.charge_bytes;
}

bool record_progress(journal_shard& shard, const charge& value, apply_context& context) {
    const auto [entry, inserted] = shard.writers.try_emplace(value.writer);
    if (!record_sequence(entry->second, value.sequence, context.limits.max_ranges_per_writer)) {
        return false;
    }
    entry->second.changed_at = shard.clock;
    context.estimated_bytes += range_bytes + (inserted ? encoded_size(value.writer) + progress_bytes : 0);
    return true;
}

void append_charge(journal_shard& shard, const charge& value, apply_context& context) {
    shard.charges.push_back(value);
    context.estimated_bytes += encoded_size(value);
    if (!value.key_id.empty()) {
        shard.charged_keys.emplace(value.key_id, shard.clock);
        context.estimated_bytes += key_bytes;
    }
    add_to_totals(shard, value, context);
}

} // namespace

bool is_recorded(const writer_progress& progress, std::uint64_t sequence) {
    return sequence <= progress.contiguous ||
           std::any_of(progress.beyond.begin(), progress.beyond.end(), [&](const auto& range) {
               return range.first <= sequence && sequence <= range.second;
           });
}

// Gaps in the sequence are allowed: if every node with a copy of a charge fails, the charge never arrives,
// but a peer must still be able to submit that writer's later charges.
bool record_sequence(writer_progress& progress, std::uint64_t sequence, std::size_t max_ranges) {
    auto& ranges = progress.beyond;
    if (sequence == progress.contiguous + 1) {
        progress.contiguous = sequence;
        if (!ranges.empty() && ranges.front().first == sequence + 1) {
            progress.contiguous = ranges.front().second;
            ranges.erase(ranges.begin());
        }
        return true;
    }
    const auto after =
        std::find_if(ranges.begin(), ranges.end(), [&](const auto& range) { return range.first > sequence; });
    const bool joins_before = after != ranges.begin() && (after - 1)->second + 1 == sequence;
    const bool joins_after = after != ranges.end() && after->first == sequence + 1;
    if (joins_before && joins_after) {
        (after - 1)->second = after->second;
        ranges.erase(after);
    } else if (joins_before) {
        (after - 1)->second = sequence;
    } else if (joins_after) {
        after->first = sequence;
    } else if (ranges.size() >= max_ranges) {
        return false;
    } else {
        ranges.insert(after, {sequence, sequence});
    }
    return true;
}

std::optional<apply_result> recorded_charge_outcome(const journal_shard& shard, const charge& value) {
    const auto found = shard.writers.find(value.writer);
    if (value.sequence == 0 || found == shard.writers.end() || !is_recorded(found->second, value.sequence)) {
        return std::nullopt;
    }
    apply_result result;
    result.outcome = entry_outcome::duplicate;
    return result;
}

apply_result record_charge(journal_shard& shard, const charge& value, apply_context& context) {
    apply_result result;
    const bool key_charged = !value.key_id.empty() && shard.charged_keys.count(value.key_id) != 0;
    if (!key_charged && !has_room(shard, value, context)) {
        result.outcome = entry_outcome::backlog_full;
        return result;
    }
    if (value.sequence == 0 || !record_progress(shard, value, context)) {
        result.outcome = entry_outcome::sequence_gap;
        return result;
    }
    result.changed = true;
    if (key_charged) {
        result.outcome = entry_outcome::duplicate;
    } else {
        append_charge(shard, value, context);
    }
    return result;
}

} // namespace figspoke::state
