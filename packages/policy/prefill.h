#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// Expected prefill time, in milliseconds, of the prompts that wait on an upstream, by rank; the last element
/// holds all lower ranks.
using pending_by_rank = std::array<double, 4>;

/// Returns the index of a rank in `pending_by_rank`.
std::size_t rank_index(int rank);

/// Returns the prefill time, in milliseconds, of the prompts that are processed before a request of this
/// rank: those of its own rank and of more urgent ones, since engines admit these first.
double pending_ms_ahead(const pending_by_rank& pending, int rank);

/// Learned prefill time per prompt token, in milliseconds, by model.
struct prefill_rates {
    std::map<std::string, double> ms_per_token;
};

/// A measured time to the first byte.
struct prefill_sample {
    /// Tokens of the prompt that can't have been cached.
    double uncached_tokens = 0;
    core::milliseconds time_to_first_byte{0};
    /// Expected prefill time, in milliseconds, of other prompts ahead of this one.
    double pending_ms = 0;
};

/// Returns the measured prefill time per token, in milliseconds; empty where the sample says more of other
/// prompts.
std::optional<double> prefill_ms_per_token(const prefill_sample& sample);

/// Updates the rate of a model from a sample.
void learn_prefill(prefill_rates& rates, const std::string& model, const prefill_sample& sample);

/// Returns the expected prefill time of a number of tokens, in milliseconds.
double prefill_ms(const prefill_rates& rates, const std::string& model, double tokens);

/// A segment of a prompt.
struct prompt_segment {
    /// Hash of the prompt from its start to the end of the segment.
    std::uint64_t prefix_hash = 0;
    /// Tokens in the segment.
    std::int64_t tokens = 0;
};

/// Prompt prefixes that are probably in the caches of upstreams, inferred from the requests sent to them.
struct prefix_cache_index {
    /// Time of last use: by upstream, then by prefix hash.
    std::map<std::string, std::map<std::uint64_t, core::steady_time>> last_used;
};

/// Time since its last use after which a prefix is assumed to be evicted. Engines evict the least recently
/// used entries.
inline constexpr core::seconds prefix_lifetime{30};
inline constexpr std::size_t max_prefixes_per_upstream = 2000;

/// Records that the upstream has processed the shared segments of a prompt.
void record_prefixes(prefix_cache_index& memory, const std::string& upstream,
                     const std::vector<prompt_segment>& shared, core::steady_time now);

/// Returns the number of tokens in the leading shared segments that the upstream probably has in its cache.
std::int64_t cached_tokens(const prefix_cache_index& memory, const std::string& upstream,
                           const std::vector<prompt_segment>& shared, core::steady_time now);

} // namespace figspoke::policy
