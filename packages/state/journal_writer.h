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

struct writer_settings {
    std::uint32_t shard = 0;
    /// This node's incarnation, unique across nodes and restarts. An incarnation has one writer for a shard.
    std::string owner;
    shard_limits limits;
    std::chrono::milliseconds idempotency_window{std::chrono::hours{24}};
    /// Entries that wait for their batch; `submit_entry` refuses more.
    std::size_t max_waiting = 4000;
    std::size_t max_batch = 500;
    /// Open charges above which a ledger page is sealed, and the most that one page takes. A value above
    /// `claim_bytes` is sealed from a tenth of that on.
    std::size_t seal_above = 1000;
    std::size_t page_charges = 1000;
    /// Longest time that a charge waits for its batch. Claims and results do not wait.
    std::chrono::milliseconds charge_delay{250};
    /// Least time between two writes, for a key-value service that allows few writes.
    std::chrono::milliseconds min_write_interval{0};
    /// Wait after a lost reply, doubled up to the maximum while replies are lost.
    std::chrono::milliseconds first_retry{20};
    std::chrono::milliseconds max_retry{1000};
};

enum class entry_fate {
    /// The outcome is valid: it was seen in the written value or needed no write.
    settled,
    /// The entry was not in the value that was last read and this writer will not write it; send it to the
    /// shard's owner.
    not_owner,
    /// The entry may or may not be written; send the same entry to the shard's owner to find out.
    unclear,
};

struct waiting_entry {
    std::uint64_t ticket = 0;
    journal_entry entry;
    core::steady_time since;
};

/// What became of a submitted entry. `result` is valid where the fate is `settled`.
struct settled_entry {
    std::uint64_t ticket = 0;
    entry_fate fate = entry_fate::settled;
    apply_result result;
};

/// One compare-and-swap of the shard's value. It is repeated unchanged until its fate is known.
struct batch_attempt {
    std::string id;
    std::uint64_t expected = 0;
    std::string text;
    journal_shard next;
    /// The steady time up to which the shard clock of `next` counts.
    core::steady_time measured_to;
    std::vector<waiting_entry> entries;
    std::vector<apply_result> results;
};

enum class writer_phase { idle, taking_over, owner };

/// The kinds of calls to the key-value service, and `wait` for none.
enum class writer_call { wait, read_shard, write_shard, read_page, create_page };

/// What the caller of `next_action` must do.
struct writer_action {
    writer_call call = writer_call::wait;
    /// The new value of a write.
    std::string text;
    /// The version that `write_shard` expects. `create_page` expects 0.
    std::uint64_t expected = 0;
    /// The number of the ledger page to read or create.
    std::uint64_t page = 0;
    /// When to ask again; empty means after the next event.
    std::optional<core::steady_time> until;
};

/// The append protocol of one shard on one node. It has at most one call in progress and learns of each
/// call's end by exactly one `on_` function. All members are its own; callers may read `phase` and `error`.
struct journal_writer {
    writer_settings settings;
    std::function<bool(std::string_view incarnation)> is_gone;
    writer_phase phase = writer_phase::idle;
    /// The last error that made the writer give up the shard.
    std::string error;
    bool releasing = false;
    writer_call in_progress = writer_call::wait;
    /// Whether the value must be read before the next write.
    bool must_read = false;
    /// The epoch of the value that a takeover started from.
    std::optional<std::uint64_t> observed_epoch;
    journal_shard value;
    std::uint64_t version = 0;
    /// The encoded size of the value that was last written.
    std::size_t value_bytes = 0;
    core::steady_time measured_to;
    std::optional<batch_attempt> attempt;
    std::uint64_t attempts = 0;
    std::deque<waiting_entry> waiting;
    std::optional<core::steady_time> flush_at;
    std::optional<core::steady_time> last_write;
    /// A page whose create-only write has no known outcome yet.
    std::optional<ledger_page> page;
    bool must_read_page = false;
    /// A written page whose charges are still open in the value.
    std::optional<ledger_page> sealed;
    std::vector<settled_entry> settled;
    std::chrono::milliseconds backoff{0};
    std::optional<core::steady_time> retry_at;
};

enum class submit_result { accepted, not_owner, full };

journal_writer make_journal_writer(writer_settings settings,
                                   std::function<bool(std::string_view incarnation)> is_gone);

/// Starts to take over the shard; does nothing unless the writer is idle.
void acquire_shard(journal_writer& writer);

/// Gives the shard up once the batch in progress is settled, and hands the waiting entries back.
void release_shard(journal_writer& writer);

/// Adds an entry to the next batch. The ticket names it in `take_settled`.
submit_result submit_entry(journal_writer& writer, std::uint64_t ticket, journal_entry entry,
                           core::steady_time now);

/// Removes an entry that is in no batch yet. Returns false where the entry is in a batch or settled.
bool withdraw_entry(journal_writer& writer, std::uint64_t ticket);

/// Returns what to do next. Anything but `wait` is a call in progress until its end is reported.
writer_action next_action(journal_writer& writer, core::steady_time now);

/// A write took effect at the version.
void on_written(journal_writer& writer, std::uint64_t version, core::steady_time now);

/// A write was refused because of the version.
void on_conflict(journal_writer& writer, core::steady_time now);

/// A call had no reply or an unclear one.
void on_lost(journal_writer& writer, core::steady_time now);

/// A read found the text at the version; nothing and 0 where the key is absent.
void on_value(journal_writer& writer, const std::optional<std::string>& text, std::uint64_t version,
              core::steady_time now);

/// Returns the entries whose fate has become known since the last call.
std::vector<settled_entry> take_settled(journal_writer& writer);

} // namespace figspoke::state
