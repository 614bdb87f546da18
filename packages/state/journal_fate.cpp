#include "state/journal_fate.h"

#include <algorithm>
#include <utility>

#include "state/journal_batch.h"

namespace figspoke::state {
namespace {

// Decides the fate of the batch in progress from a value of a higher version than the batch expected: the
// compare-and-swap can no longer take effect. Every write adds one batch id, so the last n ids are those of
// the last n versions.
entry_fate fate_of(const batch_attempt& attempt, const journal_shard& value, std::uint64_t version) {
    if (std::find(value.batches.begin(), value.batches.end(), attempt.id) != value.batches.end()) {
        return entry_fate::settled;
    }
    const bool listed = version > attempt.expected && version - attempt.expected <= value.batches.size();
    return listed ? entry_fate::not_owner : entry_fate::unclear;
}

void settle_batch(journal_writer& writer) {
    for (std::size_t i = 0; i < writer.attempt->entries.size(); ++i) {
        writer.settled.push_back(
            {writer.attempt->entries[i].ticket, entry_fate::settled, std::move(writer.attempt->results[i])});
    }
    writer.attempt.reset();
}

// The batch was not written but the shard may still be taken: its entries go to the next attempt.
void return_to_queue(journal_writer& writer) {
    auto& entries = writer.attempt->entries;
    writer.waiting.insert(writer.waiting.begin(), std::make_move_iterator(entries.begin()),
                          std::make_move_iterator(entries.end()));
    writer.attempt.reset();
    update_flush_time(writer);
}

void continue_takeover(journal_writer& writer, journal_shard value, std::uint64_t version,
                       core::steady_time now) {
    // Another batch of the same owner only means that the value must be taken over at its new version.
    // Another epoch means that another node was faster; taking it over again would contend for the shard.
    if (writer.observed_epoch && *writer.observed_epoch != value.epoch) {
        lose_shard(writer, entry_fate::not_owner, &value);
        return;
    }
    if (writer.attempt) {
        return_to_queue(writer);
    }
    writer.observed_epoch = value.epoch;
    writer.value = std::move(value);
    writer.version = version;
    writer.measured_to = now;
}

void hand_back_one(journal_writer& writer, const waiting_entry& waiting, entry_fate fate,
                   const journal_shard* newest, const apply_context& context) {
    settled_entry settled;
    settled.ticket = waiting.ticket;
    settled.fate = fate;
    if (newest != nullptr) {
        if (auto recorded = recorded_outcome(*newest, waiting.entry, context)) {
            settled.fate = entry_fate::settled;
            settled.result = *std::move(recorded);
        }
    }
    writer.settled.push_back(std::move(settled));
}

// The batch itself was not found in the value, but its entries may be: a repeated entry can have been
// written before.
void hand_back_all(journal_writer& writer, entry_fate fate_of_batch, const journal_shard* newest) {
    // Without a value even an entry that was in no batch can be recorded: by an earlier copy of it.
    const entry_fate fate_of_waiting = newest != nullptr ? entry_fate::not_owner : entry_fate::unclear;
    apply_context context;
    context.is_gone = writer.is_gone;
    if (writer.attempt) {
        for (const auto& entry : writer.attempt->entries) {
            hand_back_one(writer, entry, fate_of_batch, newest, context);
        }
    }
    for (const auto& entry : writer.waiting) {
        hand_back_one(writer, entry, fate_of_waiting, newest, context);
    }
    writer.attempt.reset();
    writer.waiting.clear();
    writer.flush_at.reset();
}

} // namespace

void settle_written(journal_writer& writer, std::uint64_t version) {
    writer.value = std::move(writer.attempt->next);
    writer.version = version;
    writer.value_bytes = writer.attempt->text.size();
    writer.measured_to = writer.attempt->measured_to;
    writer.phase = writer_phase::owner;
    writer.observed_epoch.reset();
    writer.sealed.reset();
    settle_batch(writer);
}

void lose_shard(journal_writer& writer, entry_fate fate_of_batch, const journal_shard* newest) {
    hand_back_all(writer, fate_of_batch, newest);
    writer.page.reset();
    writer.sealed.reset();
    writer.observed_epoch.reset();
    writer.must_read = false;
    writer.must_read_page = false;
    writer.releasing = false;
    writer.phase = writer_phase::idle;
}

void adopt_value(journal_writer& writer, journal_shard value, std::uint64_t version, core::steady_time now) {
    if (writer.attempt && version == writer.attempt->expected) {
        // The batch may still be on its way. Repeating it unchanged is safe: only one copy can take effect.
        return;
    }
    if (!writer.attempt) {
        continue_takeover(writer, std::move(value), version, now);
        return;
    }
    const entry_fate fate = fate_of(*writer.attempt, value, version);
    const bool ours = value.owner == writer.attempt->next.owner && value.epoch == writer.attempt->next.epoch;
    if (fate == entry_fate::settled && ours) {
        settle_written(writer, version);
        writer.value = std::move(value);
    } else if (fate == entry_fate::not_owner && writer.phase == writer_phase::taking_over) {
        continue_takeover(writer, std::move(value), version, now);
    } else {
        if (fate == entry_fate::settled) {
            settle_batch(writer);
        }
        lose_shard(writer, fate, &value);
    }
}

} // namespace figspoke::state
