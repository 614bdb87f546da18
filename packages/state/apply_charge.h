#pragma once

#include <optional>

#include "state/journal_entry.h"

namespace figspoke::state {

/// Returns `duplicate` where the writer's sequence is recorded.
std::optional<apply_result> recorded_charge(const journal_shard& shard, const charge& value);

/// Records a charge that is not recorded yet, once for each key where it has one.
apply_result record_charge(journal_shard& shard, const charge& value, apply_context& context);

/// Adds a sequence to a writer's progress. Returns false, and changes nothing, where that would need more
/// than `max_ranges` ranges. The sequence must not be recorded yet.
bool record_sequence(writer_progress& progress, std::uint64_t sequence, std::size_t max_ranges);

/// Tells whether a sequence is recorded.
bool is_recorded(const writer_progress& progress, std::uint64_t sequence);

} // namespace figspoke::state
