#include "state/journal_batch.h"

#include <algorithm>
#include <utility>

#include "state/journal_expiry.h"

namespace figspoke::state {
namespace {

using core::steady_time;

core::steady_time due_time(const waiting_entry& waiting, const writer_settings& settings) {
    const bool is_charge = std::holds_alternative<charge>(waiting.entry);
    return is_charge ? waiting.submitted_at + settings.charge_delay : waiting.submitted_at;
}

std::string next_batch_id(journal_writer& writer, std::uint64_t epoch) {
    return writer.settings.owner + "/" + std::to_string(epoch) + "/" + std::to_string(++writer.attempt_count);
}

void add_batch_id(journal_shard& shard, const std::string& id) {
    shard.batch_ids.push_back(id);
    if (shard.batch_ids.size() > max_recent_batches) {
        shard.batch_ids.erase(shard.batch_ids.begin());
    }
}

// Prepares the new value up to the point where the entries of the batch are applied.
batch_attempt start_attempt(journal_writer& writer, bool takeover, steady_time now) {
    batch_attempt attempt;
    attempt.expected_version = writer.version;
    attempt.new_value = writer.value;
    if (takeover) {
        attempt.new_value.epoch = writer.value.epoch + 1;
        attempt.new_value.owner = writer.settings.owner;
    }
    const auto elapsed = core::to_ms(now - writer.clock_advanced_at);
    attempt.clock_advanced_at = writer.clock_advanced_at + elapsed;
    advance_shard_clock(attempt.new_value, elapsed);
    expire_records(attempt.new_value,
                   {writer.settings.idempotency_window, writer.settings.limits, writer.has_ended});
    if (writer.sealed_page) {
        remove_sealed_charges(attempt.new_value, *writer.sealed_page);
    }
    return attempt;
}

// Applies the first `count` waiting entries. Returns whether any of them changed the value.
bool apply_waiting(journal_writer& writer, batch_attempt& attempt, std::size_t count) {
    apply_context context = make_apply_context(attempt.new_value, writer.settings.limits, writer.has_ended);
    bool changed = false;
    for (std::size_t i = 0; i < count; ++i) {
        attempt.results.push_back(apply_entry(attempt.new_value, writer.waiting[i].entry, context));
        changed = changed || attempt.results.back().changed;
    }
    return changed;
}

void take_waiting_entries(journal_writer& writer, batch_attempt& attempt) {
    const auto end = writer.waiting.begin() + static_cast<std::ptrdiff_t>(attempt.results.size());
    attempt.entries.assign(std::make_move_iterator(writer.waiting.begin()), std::make_move_iterator(end));
    writer.waiting.erase(writer.waiting.begin(), end);
    update_flush_time(writer);
}

void settle_without_write(journal_writer& writer, batch_attempt attempt) {
    take_waiting_entries(writer, attempt);
    for (std::size_t i = 0; i < attempt.entries.size(); ++i) {
        writer.finished_entries.push_back(
            {attempt.entries[i].ticket, entry_disposition::settled, std::move(attempt.results[i])});
    }
}

void reject_first_entry(journal_writer& writer) {
    apply_result full;
    full.outcome = entry_outcome::backlog_full;
    writer.finished_entries.push_back({writer.waiting.front().ticket, entry_disposition::settled, full});
    writer.waiting.pop_front();
    update_flush_time(writer);
}

} // namespace

void update_flush_time(journal_writer& writer) {
    writer.flush_at.reset();
    for (const auto& waiting : writer.waiting) {
        const steady_time due = due_time(waiting, writer.settings);
        writer.flush_at = writer.flush_at ? std::min(*writer.flush_at, due) : due;
    }
}

bool build_batch(journal_writer& writer, bool takeover, steady_time now) {
    std::size_t count = std::min(writer.waiting.size(), writer.settings.max_batch);
    while (true) {
        batch_attempt attempt = start_attempt(writer, takeover, now);
        const bool changed = apply_waiting(writer, attempt, count);
        if (!changed && !takeover && !writer.sealed_page) {
            settle_without_write(writer, std::move(attempt));
            return false;
        }
        attempt.id = next_batch_id(writer, attempt.new_value.epoch);
        add_batch_id(attempt.new_value, attempt.id);
        attempt.text = encode_shard(attempt.new_value);
        if (attempt.text.size() <= max_value_bytes || count == 0) {
            take_waiting_entries(writer, attempt);
            writer.attempt = std::move(attempt);
            return true;
        }
        // `apply_entry` keeps the estimated size below the limit. This handles a value that was written with
        // other limits.
        if (count == 1) {
            reject_first_entry(writer);
        }
        count /= 2;
    }
}

} // namespace figspoke::state
