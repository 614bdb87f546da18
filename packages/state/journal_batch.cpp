#include "state/journal_batch.h"

#include <algorithm>
#include <utility>

#include "state/journal_expiry.h"

namespace figspoke::state {
namespace {

using core::steady_time;

core::steady_time due_time(const waiting_entry& waiting, const writer_settings& settings) {
    const bool is_charge = std::holds_alternative<charge>(waiting.entry);
    return is_charge ? waiting.since + settings.charge_delay : waiting.since;
}

std::string next_batch_id(journal_writer& writer, std::uint64_t epoch) {
    return writer.settings.owner + "/" + std::to_string(epoch) + "/" + std::to_string(++writer.attempts);
}

void add_batch_id(journal_shard& shard, const std::string& id) {
    shard.batches.push_back(id);
    if (shard.batches.size() > max_recent_batches) {
        shard.batches.erase(shard.batches.begin());
    }
}

// The value before the entries of the batch are applied.
batch_attempt start_attempt(journal_writer& writer, bool takeover, steady_time now) {
    batch_attempt attempt;
    attempt.expected = writer.version;
    attempt.next = writer.value;
    if (takeover) {
        attempt.next.epoch = writer.value.epoch + 1;
        attempt.next.owner = writer.settings.owner;
    }
    const auto elapsed = core::to_ms(now - writer.measured_to);
    attempt.measured_to = writer.measured_to + elapsed;
    advance_shard_clock(attempt.next, elapsed);
    expire_records(attempt.next,
                   {writer.settings.idempotency_window, writer.settings.limits, writer.is_gone});
    if (writer.sealed) {
        remove_sealed_charges(attempt.next, *writer.sealed);
    }
    return attempt;
}

// Returns whether an entry changed the value.
bool apply_waiting(journal_writer& writer, batch_attempt& attempt, std::size_t count) {
    apply_context context = make_apply_context(attempt.next, writer.settings.limits, writer.is_gone);
    bool changed = false;
    for (std::size_t i = 0; i < count; ++i) {
        attempt.results.push_back(apply_entry(attempt.next, writer.waiting[i].entry, context));
        changed = changed || attempt.results.back().changed;
    }
    return changed;
}

void move_entries(journal_writer& writer, batch_attempt& attempt) {
    const auto end = writer.waiting.begin() + static_cast<std::ptrdiff_t>(attempt.results.size());
    attempt.entries.assign(std::make_move_iterator(writer.waiting.begin()), std::make_move_iterator(end));
    writer.waiting.erase(writer.waiting.begin(), end);
    update_flush_time(writer);
}

void settle_without_write(journal_writer& writer, batch_attempt attempt) {
    move_entries(writer, attempt);
    for (std::size_t i = 0; i < attempt.entries.size(); ++i) {
        writer.settled.push_back(
            {attempt.entries[i].ticket, entry_fate::settled, std::move(attempt.results[i])});
    }
}

void refuse_first(journal_writer& writer) {
    apply_result full;
    full.outcome = entry_outcome::backlog_full;
    writer.settled.push_back({writer.waiting.front().ticket, entry_fate::settled, full});
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
        if (!changed && !takeover && !writer.sealed) {
            settle_without_write(writer, std::move(attempt));
            return false;
        }
        attempt.id = next_batch_id(writer, attempt.next.epoch);
        add_batch_id(attempt.next, attempt.id);
        attempt.text = encode_shard(attempt.next);
        if (attempt.text.size() <= max_value_bytes || count == 0) {
            move_entries(writer, attempt);
            writer.attempt = std::move(attempt);
            return true;
        }
        // The estimates of `apply_entry` keep the value below the limit; this handles a value that was
        // written under other limits.
        if (count == 1) {
            refuse_first(writer);
        }
        count /= 2;
    }
}

} // namespace figspoke::state
