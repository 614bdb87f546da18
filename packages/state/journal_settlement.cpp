#include "state/journal_settlement.h"

#include <algorithm>
#include <utility>

#include "state/journal_batch.h"

namespace figspoke::state {
namespace {

// Determines whether the batch in progress was written. The value has a later version than the one that the
// batch requires, so the compare-and-swap can no longer take effect. Every write adds one batch id, so the
// last n ids are those of the last n versions.
entry_disposition determine_disposition(const batch_attempt& attempt, const journal_shard& value,
                                        std::uint64_t version) {
    if (std::find(value.batch_ids.begin(), value.batch_ids.end(), attempt.id) != value.batch_ids.end()) {
        return entry_disposition::settled;
    }
    const bool ids_complete =
        version > attempt.expected_version && version - attempt.expected_version <= value.batch_ids.size();
    return ids_complete ? entry_disposition::not_owner : entry_disposition::unknown;
}

// Whether the key-value service came back from an older copy and lost writes of this owner. Only the owner
// writes at its epoch, and each write adds a batch id, so such a value is one from which the owner's own
// descends. A lower version of another owner may hold what this node never saw.
bool is_earlier_value_of_owner(const journal_writer& writer, const journal_shard& value,
                               std::uint64_t version) {
    if (writer.phase != writer_phase::owner || version >= writer.attempt->expected_version) {
        return false;
    }
    if (version == 0 || (value.owner == writer.settings.owner && value.epoch == writer.value.epoch)) {
        return true;
    }
    const auto& known = writer.value.batch_ids;
    return !value.batch_ids.empty() &&
           std::find(known.begin(), known.end(), value.batch_ids.back()) != known.end();
}

void settle_batch(journal_writer& writer) {
    for (std::size_t i = 0; i < writer.attempt->entries.size(); ++i) {
        writer.finished_entries.push_back({writer.attempt->entries[i].ticket, entry_disposition::settled,
                                           std::move(writer.attempt->results[i])});
    }
    writer.attempt.reset();
}

// The batch was not written but the shard can still be taken over, so its entries go into the next attempt.
void requeue_batch(journal_writer& writer) {
    auto& entries = writer.attempt->entries;
    writer.waiting.insert(writer.waiting.begin(), std::make_move_iterator(entries.begin()),
                          std::make_move_iterator(entries.end()));
    writer.attempt.reset();
    update_flush_time(writer);
}

void continue_takeover(journal_writer& writer, journal_shard value, std::uint64_t version,
                       core::steady_time now) {
    // If the epoch is unchanged, the old owner has written another batch, and the takeover continues from the
    // new version. A new epoch means that another node took over first; a second takeover would contend for
    // the shard.
    if (writer.observed_epoch && *writer.observed_epoch != value.epoch) {
        relinquish_shard(writer, entry_disposition::not_owner, &value);
        return;
    }
    if (writer.attempt) {
        requeue_batch(writer);
    }
    writer.observed_epoch = value.epoch;
    writer.value = std::move(value);
    writer.version = version;
    writer.clock_advanced_at = now;
}

void return_entry(journal_writer& writer, const waiting_entry& waiting, entry_disposition disposition,
                  const journal_shard* newest, const apply_context& context) {
    finished_entry finished;
    finished.ticket = waiting.ticket;
    finished.disposition = disposition;
    if (newest != nullptr) {
        if (auto recorded = recorded_outcome(*newest, waiting.entry, context)) {
            finished.disposition = entry_disposition::settled;
            finished.result = *std::move(recorded);
        }
    }
    writer.finished_entries.push_back(std::move(finished));
}

// Entries are looked up one by one because the value may contain an entry of the batch without containing the
// batch: an earlier copy of a repeated entry may have been written.
void return_all_entries(journal_writer& writer, entry_disposition batch_disposition,
                        const journal_shard* newest) {
    // If no value is known, even an entry that was in no batch may be recorded, through an earlier copy of
    // it.
    const entry_disposition waiting_disposition =
        newest != nullptr ? entry_disposition::not_owner : entry_disposition::unknown;
    apply_context context;
    context.has_ended = writer.has_ended;
    if (writer.attempt) {
        for (const auto& entry : writer.attempt->entries) {
            return_entry(writer, entry, batch_disposition, newest, context);
        }
    }
    for (const auto& entry : writer.waiting) {
        return_entry(writer, entry, waiting_disposition, newest, context);
    }
    writer.attempt.reset();
    writer.waiting.clear();
    writer.flush_at.reset();
}

} // namespace

void commit_batch(journal_writer& writer, std::uint64_t version) {
    writer.value = std::move(writer.attempt->new_value);
    writer.version = version;
    writer.value_bytes = writer.attempt->text.size();
    writer.clock_advanced_at = writer.attempt->clock_advanced_at;
    writer.phase = writer_phase::owner;
    writer.observed_epoch.reset();
    writer.sealed_page.reset();
    settle_batch(writer);
}

void relinquish_shard(journal_writer& writer, entry_disposition batch_disposition,
                      const journal_shard* newest) {
    return_all_entries(writer, batch_disposition, newest);
    writer.pending_page.reset();
    writer.sealed_page.reset();
    writer.observed_epoch.reset();
    writer.must_read = false;
    writer.must_read_page = false;
    writer.release_pending = false;
    writer.phase = writer_phase::idle;
}

void handle_shard_value(journal_writer& writer, journal_shard value, std::uint64_t version,
                        core::steady_time now) {
    if (writer.attempt && version == writer.attempt->expected_version) {
        // The write may still be in transit. Repeating it unchanged is safe: only one copy can take effect.
        return;
    }
    if (!writer.attempt) {
        continue_takeover(writer, std::move(value), version, now);
        return;
    }
    if (is_earlier_value_of_owner(writer, value, version)) {
        writer.attempt->expected_version = version;
        return;
    }
    const entry_disposition disposition = determine_disposition(*writer.attempt, value, version);
    const bool still_owner =
        value.owner == writer.attempt->new_value.owner && value.epoch == writer.attempt->new_value.epoch;
    if (disposition == entry_disposition::settled && still_owner) {
        commit_batch(writer, version);
        writer.value = std::move(value);
    } else if (disposition == entry_disposition::not_owner && writer.phase == writer_phase::taking_over) {
        continue_takeover(writer, std::move(value), version, now);
    } else {
        if (disposition == entry_disposition::settled) {
            settle_batch(writer);
        }
        relinquish_shard(writer, disposition, &value);
    }
}

} // namespace figspoke::state
