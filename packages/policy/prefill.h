#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// Expected milliseconds of prompt reading that wait on an upstream, by rank; the last entry holds all lower
/// ranks.
using pending_by_rank = std::array<double, 4>;

/// Returns the entry of a rank.
std::size_t rank_slot(int rank);

/// Returns the work that a request of this rank waits for: its own rank and more urgent ones, since engines
/// admit these first.
double pending_before(const pending_by_rank& pending, int rank);

/// Learned times to read one prompt token, in milliseconds, by model.
struct prefill_rates {
    std::map<std::string, double> ms_per_token;
};

/// One observation: a prompt of which `tokens` were surely not cached took `took` to its first byte on an
/// upstream where `pending_ms` of other work was expected before it.
struct prefill_sample {
    double tokens = 0;
    core::milliseconds took{0};
    double pending_ms = 0;
};

/// Learns from an answer. Queueing and parts that had to be read again only ever make an answer later, so low
/// samples weigh more than high ones.
void learn_prefill(prefill_rates& rates, const std::string& model, const prefill_sample& sample);

/// Returns the expected time in milliseconds to read a number of tokens.
double prefill_ms(const prefill_rates& rates, const std::string& model, double tokens);

/// One part of a prompt: the hash of everything up to its end, and its tokens.
struct prompt_step {
    std::uint64_t chain = 0;
    std::int64_t tokens = 0;
};

/// Prompt prefixes that upstreams probably keep, from the requests that were sent there.
struct prefix_memory {
    /// By upstream, then by chain hash: when it was last used.
    std::map<std::string, std::map<std::uint64_t, core::steady_time>> kept;
};

/// Engines drop the least recently used parts; what wasn't used for this long is no longer counted on.
inline constexpr core::seconds prefix_lifetime{30};
inline constexpr std::size_t max_prefixes_per_upstream = 2000;

/// Notes that a prompt's shared parts are on the upstream now.
void note_prefixes(prefix_memory& memory, const std::string& upstream, const std::vector<prompt_step>& shared,
                   core::steady_time now);

/// Returns the tokens of the leading shared parts that the upstream probably keeps.
std::int64_t cached_tokens(const prefix_memory& memory, const std::string& upstream,
                           const std::vector<prompt_step>& shared, core::steady_time now);

} // namespace figspoke::policy
