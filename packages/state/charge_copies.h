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

/// A copy of another node's charge and the shard that it belongs to.
struct charge_copy {
    std::uint32_t shard = 0;
    charge value;
};

/// The copies that a node keeps for other writers until it learns that they are recorded.
struct charge_copies {
    std::size_t max_copies = 20'000;
    std::size_t count = 0;
    /// By writer, then by shard and sequence.
    std::map<std::string, std::map<std::pair<std::uint32_t, std::uint64_t>, charge>> writers;
};

/// Keeps a copy. Returns false where there is no room; the writer must then choose another peer. Repeating a
/// copy changes nothing.
bool keep_copy(charge_copies& copies, charge_copy copy);

/// Removes the copy of a charge that is recorded.
void drop_copy(charge_copies& copies, const std::string& writer, std::uint32_t shard, std::uint64_t sequence);

/// Returns up to `max` copies of ended incarnations, which this node must now send to their shards under the
/// writer's own sequences. They stay until `drop_copy`. Sending a copy of a writer that is still alive does
/// no harm: the shard records each sequence once.
std::vector<charge_copy> copies_to_book(const charge_copies& copies,
                                        const std::function<bool(std::string_view incarnation)>& is_gone,
                                        std::size_t max);

} // namespace figspoke::state
