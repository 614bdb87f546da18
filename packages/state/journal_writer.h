#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "state/journal_entry.h"
#include "state/journal_shard.h"
#include "state/ledger_page.h"

namespace figspoke::state {

/// Settings of the writer of one shard on one node.
struct writer_settings {
    std::uint32_t shard = 0;
    /// This node's incarnation, unique across nodes and restarts. An incarnation has one writer for each
    /// shard.
    std::string owner;
    shard_limits limits;
    std::chrono::milliseconds idempotency_window{std::chrono::hours{24}};
    /// Largest number of entries that wait for a batch; `submit_entry` returns `full` above it.
    std::size_t max_waiting = 4000;
    /// Largest number of entries in one batch.
    std::size_t max_batch = 500;
    /// Number of open charges above which a ledger page is sealed, and the largest number in one page. If the
    /// value is larger than `claim_bytes`, a tenth of `seal_above` is enough.
    std::size_t seal_above = 1000;
    std::size_t max_page_charges = 1000;
    /// Longest time that a charge waits for its batch. Claims and results are written without delay.
    std::chrono::milliseconds charge_delay{250};
    /// Minimum time between two writes, for a key-value service that limits the write rate.
    std::chrono::milliseconds min_write_interval{0};
    /// Delay before the retry after a lost reply, doubled for each further lost reply up to `max_retry`.
    std::chrono::milliseconds first_retry{20};
    std::chrono::milliseconds max_retry{1000};
};

/// Whether the shard's decision on a submitted entry is known.
enum class entry_disposition {
    /// The outcome is final: it is in the written value or needed no write.
    settled,
    /// The entry is not in the last read value and this writer will not write it; send it to the shard's
    /// owner.
    not_owner,
    /// The entry may or may not have been written; send the same entry to the shard's owner to find out.
    unknown,
};

/// A submitted entry that waits for its batch or for the end of its batch.
struct waiting_entry {
    std::uint64_t ticket = 0;
    journal_entry entry;
    core::steady_time submitted_at;
};

/// An entry that the writer has finished with. `result` is valid only if the entry is `settled`.
struct finished_entry {
    std::uint64_t ticket = 0;
    entry_disposition disposition = entry_disposition::settled;
    apply_result result;
};

/// One compare-and-swap of the shard's value. It is repeated unchanged until it is known whether it took
/// effect.
struct batch_attempt {
    std::string id;
    std::uint64_t expected_version = 0;
    /// The encoded `new_value`.
    std::string text;
    journal_shard new_value;
    /// Steady time to which the shard clock of `new_value` was advanced.
    core::steady_time clock_advanced_at;
    std::vector<waiting_entry> entries;
    /// One result for each entry, valid once the batch is written.
    std::vector<apply_result> results;
};

enum class writer_phase { idle, taking_over, owner };

/// Kinds of calls to the key-value service; `wait` means no call.
enum class writer_call { wait, read_shard, write_shard, read_page, create_page };

/// The action that the caller of `next_action` must carry out.
struct writer_action {
    writer_call call = writer_call::wait;
    /// The new value, for writes.
    std::string text;
    /// The version that `write_shard` expects. `create_page` expects 0.
    std::uint64_t expected_version = 0;
    /// The number of the ledger page to read or create.
    std::uint64_t page = 0;
    /// For `wait`: when to call `next_action` again; if empty, after the next event.
    std::optional<core::steady_time> until;
};

/// State of the append protocol for one shard on one node. At most one call is in progress; the end of each
/// call is reported by exactly one `on_` function. Members are internal, except that callers may read
/// `settings`, `phase` and `error`.
struct journal_writer {
    writer_settings settings;
    std::function<bool(std::string_view incarnation)> has_ended;
    writer_phase phase = writer_phase::idle;
    /// The last error that made the writer give up the shard.
    std::string error;
    /// Whether the shard must be given up once the batch in progress is settled.
    bool release_pending = false;
    writer_call pending_call = writer_call::wait;
    /// Whether the value must be read before the next write.
    bool must_read = false;
    /// Epoch of the value from which a takeover started.
    std::optional<std::uint64_t> observed_epoch;
    /// The last known value and its version.
    journal_shard value;
    std::uint64_t version = 0;
    /// Encoded size of the last written value.
    std::size_t value_bytes = 0;
    /// Steady time to which the shard clock of `value` was advanced.
    core::steady_time clock_advanced_at;
    /// The batch in progress.
    std::optional<batch_attempt> attempt;
    std::uint64_t attempt_count = 0;
    std::deque<waiting_entry> waiting;
    /// When the earliest waiting entry is due to be written.
    std::optional<core::steady_time> flush_at;
    std::optional<core::steady_time> last_write_at;
    /// A page whose create-only write is not known to have succeeded or failed.
    std::optional<ledger_page> pending_page;
    bool must_read_page = false;
    /// A written page whose charges are still open in the value.
    std::optional<ledger_page> sealed_page;
    std::vector<finished_entry> finished_entries;
    std::chrono::milliseconds backoff{0};
    std::optional<core::steady_time> retry_at;
};

enum class submit_result { accepted, not_owner, full };

journal_writer make_journal_writer(writer_settings settings,
                                   std::function<bool(std::string_view incarnation)> has_ended);

/// Starts to take over the shard. Does nothing unless the writer is idle.
void acquire_shard(journal_writer& writer);

/// Gives up the shard once the batch in progress is settled, and returns the waiting entries.
void release_shard(journal_writer& writer);

/// Queues an entry for the next batch. `ticket` identifies the entry in `take_finished`.
submit_result submit_entry(journal_writer& writer, std::uint64_t ticket, journal_entry entry,
                           core::steady_time now);

/// Removes an entry that is in no batch yet. Returns false if the entry is in a batch or finished.
bool withdraw_entry(journal_writer& writer, std::uint64_t ticket);

/// Returns the next action. An action other than `wait` is a call in progress until its end is reported.
writer_action next_action(journal_writer& writer, core::steady_time now);

/// Reports that a write took effect and produced the version.
void on_written(journal_writer& writer, std::uint64_t version, core::steady_time now);

/// Reports that a write was rejected because the stored version did not match.
void on_conflict(journal_writer& writer, core::steady_time now);

/// Reports that a call had no reply, or a reply that does not tell whether it took effect.
void on_reply_lost(journal_writer& writer, core::steady_time now);

/// Reports the result of a read: the text and its version, or empty and 0 if the key is absent.
void on_value(journal_writer& writer, const std::optional<std::string>& text, std::uint64_t version,
              core::steady_time now);

/// Returns and removes the entries that were finished after the last call.
std::vector<finished_entry> take_finished(journal_writer& writer);

} // namespace figspoke::state
