#include "policy/prefill.h"

#include <algorithm>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

// Initial rate of a model without samples. It is that of a slow model, so that the first requests are spread
// over the upstreams.
constexpr double default_ms_per_token = 0.04;
// Samples with fewer tokens are too noisy; with more pending work they measure other prompts.
constexpr double min_sample_tokens = 500;
constexpr double max_sample_pending_ms = 40;
// Time to the first byte other than the prefill: network, admission and the first decoding step.
constexpr double overhead_ms = 15;
// Queueing and evicted prefixes only ever delay an answer, so low samples weigh more than high ones.
constexpr double low_sample_weight = 0.2;
constexpr double high_sample_weight = 0.02;

} // namespace

std::size_t rank_index(int rank) {
    return std::size_t(std::clamp(rank, 0, int(pending_by_rank{}.size()) - 1));
}

double pending_ms_ahead(const pending_by_rank& pending, int rank) {
    double total = 0;
    for (std::size_t i = 0; i <= rank_index(rank); ++i) {
        total += pending.at(i);
    }
    return total;
}

std::optional<double> prefill_ms_per_token(const prefill_sample& sample) {
    if (sample.uncached_tokens < min_sample_tokens || sample.pending_ms > max_sample_pending_ms) {
        return std::nullopt;
    }
    return std::max(double(sample.time_to_first_byte.count()) - overhead_ms, 0.0) / sample.uncached_tokens;
}

void learn_prefill(prefill_rates& rates, const std::string& model, const prefill_sample& sample) {
    const auto measured = prefill_ms_per_token(sample);
    if (!measured) {
        return;
    }
    auto& rate = rates.ms_per_token.emplace(model, default_ms_per_token).first->second;
    rate += (*measured < rate ? low_sample_weight : high_sample_weight) * (*measured - rate);
}

double prefill_ms(const prefill_rates& rates, const std::string& model, double tokens) {
    const auto found = rates.ms_per_token.find(model);
    return tokens * (found == rates.ms_per_token.end() ? default_ms_per_token : found->second);
}

void record_prefixes(prefix_cache_index& memory, const std::string& upstream,
                     const std::vector<prompt_segment>& shared, core::steady_time now) {
    auto& last_used = memory.last_used[upstream];
    for (const auto& segment : shared) {
        last_used[segment.prefix_hash] = now;
    }
    if (last_used.size() <= max_prefixes_per_upstream) {
        return;
    }
    core::erase_where(last_used,
                      [&](core::steady_time at, std::uint64_t) { return now - at > prefix_lifetime; });
}

std::int64_t cached_tokens(const prefix_cache_index& memory, const std::string& upstream,
                           const std::vector<prompt_segment>& shared, core::steady_time now) {
    const auto found = memory.last_used.find(upstream);
    if (found == memory.last_used.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& segment : shared) {
        const auto used_at = found->second.find(segment.prefix_hash);
        if (used_at == found->second.end() || now - used_at->second > prefix_lifetime) {
            break;
        }
        tokens += segment.tokens;
    }
    return tokens;
}

} // namespace figspoke::policy
