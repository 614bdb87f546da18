#include "standins/prefix_cache.h"

#include "core/hash.h"

namespace figspoke::standins {
namespace {

constexpr std::size_t shortest_prefix = 256;
constexpr std::size_t longest_prefix = 64U * 1024;
constexpr std::size_t whole_below = 1024;
constexpr std::size_t max_events = 20000;

void publish(prefix_cache& cache, bool cached, const cached_prefix& entry, core::steady_time now) {
    cache.events.push_back({cache.next_seq++, now, cached, entry.version, entry.hash});
    if (cache.events.size() > max_events) {
        cache.events.pop_front();
    }
}

void touch(prefix_cache& cache, const cached_prefix& entry, core::steady_time now) {
    const auto found = cache.by_hash.find(entry.hash);
    if (found != cache.by_hash.end()) {
        cache.recent.splice(cache.recent.begin(), cache.recent, found->second);
        return;
    }
    cache.recent.push_front(entry);
    cache.by_hash[entry.hash] = cache.recent.begin();
    cache.used_bytes += entry.room_bytes;
    publish(cache, true, entry, now);
}

void evict(prefix_cache& cache, core::steady_time now) {
    while (cache.used_bytes > cache.capacity_bytes) {
        const auto entry = cache.recent.back();
        cache.by_hash.erase(entry.hash);
        cache.recent.pop_back();
        cache.used_bytes -= entry.room_bytes;
        publish(cache, false, entry, now);
    }
}

prompt_prefix make_prefix(const std::string& version, const std::string& prompt, std::size_t bytes) {
    return {core::sha256_hex(version + "\n" + prompt.substr(0, bytes)), bytes};
}

} // namespace

std::vector<prompt_prefix> prompt_prefixes(const std::string& version, const std::string& prompt) {
    std::vector<prompt_prefix> prefixes;
    for (std::size_t bytes = shortest_prefix; bytes <= prompt.size() && bytes <= longest_prefix; bytes *= 2) {
        prefixes.push_back(make_prefix(version, prompt, bytes));
    }
    const bool covered = !prefixes.empty() && prefixes.back().bytes == prompt.size();
    if (prompt.size() < whole_below && !covered) {
        prefixes.push_back(make_prefix(version, prompt, prompt.size()));
    }
    return prefixes;
}

std::size_t use_prefixes(prefix_cache& cache, const std::string& version,
                         const std::vector<prompt_prefix>& prefixes, core::steady_time now) {
    std::size_t found = 0;
    for (const auto& prefix : prefixes) {
        if (cache.by_hash.count(prefix.hash) == 0) {
            break;
        }
        found = prefix.bytes;
    }
    // A longer prefix is of no use without the shorter ones, so the shortest is the last to be evicted.
    for (std::size_t i = prefixes.size(); i-- > 0;) {
        const std::size_t covered = i == 0 ? 0 : prefixes[i - 1].bytes;
        touch(cache, {prefixes[i].hash, version, prefixes[i].bytes - covered}, now);
    }
    evict(cache, now);
    return found;
}

void forget_prefixes(prefix_cache& cache) {
    cache.recent.clear();
    cache.by_hash.clear();
    cache.used_bytes = 0;
}

} // namespace figspoke::standins
