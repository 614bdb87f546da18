#pragma once

#include "state/journal_writer.h"

namespace figspoke::state {

/// Handles a shard value that was read: settles the batch whose reply was lost, and determines whether this
/// writer still owns the shard or may take it over.
void handle_shard_value(journal_writer& writer, journal_shard value, std::uint64_t version,
                        core::steady_time now);

/// Gives up ownership of the shard. Entries that are recorded in `newest`, the last known value, are settled
/// with their recorded outcome. The other entries are returned: those of the batch in progress with
/// `batch_disposition`; waiting ones as not written, or as possibly written if no value is known.
void relinquish_shard(journal_writer& writer, entry_disposition batch_disposition,
                      const journal_shard* newest);

/// Makes the value of the batch in progress, which was written at the version, the current value and settles
/// the batch's entries.
void commit_batch(journal_writer& writer, std::uint64_t version);

} // namespace figspoke::state
