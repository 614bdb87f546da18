#pragma once

#include "state/journal_writer.h"

namespace figspoke::state {

/// Takes a value that was read: settles the batch whose reply was lost, and decides whether the shard is
/// still held.
void adopt_value(journal_writer& writer, journal_shard value, std::uint64_t version, core::steady_time now);

/// Gives the shard up. Entries that `newest`, the last known value, has recorded are settled with its
/// outcome. Other waiting entries are handed back as `not_owner`, or as `unclear` where no value is known;
/// others of a batch in progress with the fate given.
void lose_shard(journal_writer& writer, entry_fate fate_of_batch, const journal_shard* newest);

/// Settles the batch in progress, whose results are in the value.
void settle_written(journal_writer& writer, std::uint64_t version);

} // namespace figspoke::state
