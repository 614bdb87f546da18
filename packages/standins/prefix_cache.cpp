#include "standins/prefix_cache.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::standins {
namespace {

constexpr std::size_t max_blocks = 128;
constexpr std::size_t max_events = 20000;
constexpr std::size_t hash_digits = 16;

void publish(prefix_cache& cache, bool cached, const prefix_cache::block_key& key, core::steady_time now) {
    cache.events.push_back({cache.next_seq++, now, cached, key.first, key.second});
    if (cache.events.size() > max_events) {
        cache.events.pop_front();
    }
}

void touch(prefix_cache& cache, const prefix_cache::block_key& key, core::steady_time now) {
    const auto found = cache.blocks.find(key);
    if (found != cache.blocks.end()) {
        cache.recent.splice(cache.recent.begin(), cache.recent, found->second);
        return;
    }
    cache.recent.push_front(key);
    cache.blocks[key] = cache.recent.begin();
    publish(cache, true, key, now);
}

void evict(prefix_cache& cache, core::steady_time now) {
    while (cache.recent.size() > cache.capacity_blocks) {
        const auto key = cache.recent.back();
        cache.blocks.erase(key);
        cache.recent.pop_back();
        publish(cache, false, key, now);
    }
}

} // namespace

std::vector<std::string> prefix_hashes(const std::string& prompt) {
    const std::size_t count = std::min(max_blocks, prompt.size() / prefix_block_bytes);
    std::vector<std::string> hashes;
    std::string last;
    for (std::size_t i = 0; i < count; ++i) {
        last.append(prompt, i * prefix_block_bytes, prefix_block_bytes);
        last = core::sha256_hex(last).substr(0, hash_digits);
        hashes.push_back(last);
    }
    return hashes;
}

std::size_t use_prefixes(prefix_cache& cache, const std::string& version,
                         const std::vector<std::string>& hashes, core::steady_time now) {
    std::size_t found = 0;
    while (found < hashes.size() && cache.blocks.count({version, hashes[found]}) > 0) {
        ++found;
    }
    // A longer prefix is of no use without the shorter ones, so the shortest is the last to be evicted.
    for (auto it = hashes.rbegin(); it != hashes.rend(); ++it) {
        touch(cache, {version, *it}, now);
    }
    evict(cache, now);
    return found;
}

void forget_prefixes(prefix_cache& cache) {
    cache.recent.clear();
    cache.blocks.clear();
}

} // namespace figspoke::standins
