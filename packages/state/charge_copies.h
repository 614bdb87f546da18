#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/charge.h"

namespace figspoke::state {

/// A copy of another node's charge, and the shard that the charge belongs to.
struct charge_copy {
    std::uint32_t shard = 0;
    charge value;
};

/// Copies of other nodes' charges, each kept until its charge is known to be recorded.
struct charge_copies {
    std::size_t max_copies = 20'000;
    /// Number of copies of all writers.
    std::size_t count = 0;
    /// Keyed by writer, then by shard and sequence number.
    std::map<std::string, std::map<std::pair<std::uint32_t, std::uint64_t>, charge>> writers;
};

/// Stores a copy; storing the same copy again changes nothing. Returns false if there is no room; the writer
/// must then choose another peer.
bool keep_copy(charge_copies& copies, charge_copy copy);

/// Removes the copy of a charge that the shard has recorded.
void drop_copy(charge_copies& copies, const std::string& writer, std::uint32_t shard, std::uint64_t sequence);

/// Returns up to `max` copies of charges whose writers have ended. This node must now submit them to their
/// shards with the writers' own sequence numbers. The copies stay stored until `drop_copy`. Submitting a copy
/// of a live writer's charge is harmless: the shard records each sequence number once.
std::vector<charge_copy> copies_to_send(const charge_copies& copies,
                                        const std::function<bool(std::string_view incarnation)>& has_ended,
                                        std::size_t max);

} // namespace figspoke::state
