#pragma once

#include <optional>

#include "state/journal_entry.h"

namespace figspoke::state {

/// Returns `duplicate` if the writer's sequence number is recorded; otherwise empty.
std::optional<apply_result> recorded_charge_outcome(const journal_shard& shard, const charge& value);

/// Records a charge for which `recorded_charge_outcome` is empty. Charges with the same key are billed once:
/// the later one only advances its writer's progress.
apply_result record_charge(journal_shard& shard, const charge& value, apply_context& context);

/// Adds a sequence number, which must not be recorded yet, to a writer's progress. Returns false and changes
/// nothing if that would need more than `max_ranges` ranges.
bool record_sequence(writer_progress& progress, std::uint64_t sequence, std::size_t max_ranges);

/// Returns whether a sequence number is recorded.
bool is_recorded(const writer_progress& progress, std::uint64_t sequence);

} // namespace figspoke::state
