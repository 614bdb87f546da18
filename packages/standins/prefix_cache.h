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

/// A prefix of a prompt. The hash covers the version too, as docs/platform.md says.
struct prompt_prefix {
    std::string hash;
    std::size_t bytes = 0;
};

/// One cached prefix. It takes the room of the part that the next shorter prefix doesn't cover.
struct cached_prefix {
    std::string hash;
    std::string version;
    std::size_t room_bytes = 0;
};

/// Recently used prompt prefixes.
struct prefix_cache {
    std::size_t capacity_bytes = 256 * 1024;
    std::size_t used_bytes = 0;
    /// Most recently used first.
    std::list<cached_prefix> recent;
    std::map<std::string, std::list<cached_prefix>::iterator> by_hash;
    std::deque<cache_event> events;
    std::uint64_t next_seq = 1;
};

/// Bytes of prompt text that count as one token.
inline constexpr std::size_t bytes_per_token = 4;

/// Returns the prompt's prefixes of 256, 512, 1,024 bytes and so on up to 64 KB, shortest first. A prompt of
/// less than 1,024 bytes is a prefix as a whole.
std::vector<prompt_prefix> prompt_prefixes(const std::string& version, const std::string& prompt);

/// Looks up the prompt's prefixes, adds those that are missing and returns the bytes that were found.
std::size_t use_prefixes(prefix_cache& cache, const std::string& version,
                         const std::vector<prompt_prefix>& prefixes, core::steady_time now);

/// Removes all prefixes without an event, as a crash does.
void forget_prefixes(prefix_cache& cache);

} // namespace figspoke::standins
