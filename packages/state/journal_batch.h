#pragma once

#include "state/journal_writer.h"

namespace figspoke::state {

/// Builds the next write of the value from the waiting entries and, where there is one, the sealed page; with
/// `takeover` also with the next epoch. Entries that need no write are settled at once. Returns false where
/// nothing is left to write.
bool build_batch(journal_writer& writer, bool takeover, core::steady_time now);

/// Recomputes when the waiting entries are due.
void update_flush_time(journal_writer& writer);

} // namespace figspoke::state
