#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::standins {

/// A change of the cache that the engine publishes.
struct cache_event {
    std::uint64_t seq = 0;
    core::steady_time at{};
    bool cached = true;
    std::string version;
    std::string prefix;
};

/// Recently used prompt prefixes, by blocks. The key of a block is the version and the prefix's hash.
struct prefix_cache {
    using block_key = std::pair<std::string, std::string>;
    std::size_t capacity_blocks = 1024;
    /// Most recently used first.
    std::list<block_key> recent;
    std::map<block_key, std::list<block_key>::iterator> blocks;
    std::deque<cache_event> events;
    std::uint64_t next_seq = 1;
};

/// Bytes of prompt text in one block, about 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Returns the hashes of the prompt's prefixes of one block, two blocks and so on, at most 128.
std::vector<std::string> prefix_hashes(const std::string& prompt);

/// Looks up the prompt's prefixes, adds those that are missing and returns the number that were found.
std::size_t use_prefixes(prefix_cache& cache, const std::string& version,
                         const std::vector<std::string>& hashes, core::steady_time now);

/// Removes all blocks without an event, as a crash does.
void forget_prefixes(prefix_cache& cache);

} // namespace figspoke::standins
