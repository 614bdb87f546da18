#pragma once

#include "state/journal_writer.h"

namespace figspoke::state {

/// Builds the next write of the shard value: applies the waiting entries, removes the charges of a sealed
/// page and, with `takeover`, starts the next epoch. Entries that need no write are settled at once. Returns
/// false if there is nothing to write.
bool build_batch(journal_writer& writer, bool takeover, core::steady_time now);

/// Recomputes `flush_at` from the waiting entries.
void update_flush_time(journal_writer& writer);

} // namespace figspoke::state
