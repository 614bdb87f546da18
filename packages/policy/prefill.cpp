#include "policy/prefill.h"

#include <algorithm>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

// A model that was never seen is taken for a slow one, so that its first requests are spread.
constexpr double unknown_ms_per_token = 0.04;
// Samples with less to read say little about the rate, and those behind other work little about this prompt.
constexpr double least_tokens = 500;
constexpr double most_pending_ms = 40;
// Time to the first byte that isn't reading: network, admission and the first step.
constexpr double fixed_ms = 15;
constexpr double weight_of_low = 0.2;
constexpr double weight_of_high = 0.02;

} // namespace

std::size_t rank_slot(int rank) {
    return std::size_t(std::clamp(rank, 0, int(pending_by_rank{}.size()) - 1));
}

double pending_before(const pending_by_rank& pending, int rank) {
    double total = 0;
    for (std::size_t i = 0; i <= rank_slot(rank); ++i) {
        total += pending.at(i);
    }
    return total;
}

void learn_prefill(prefill_rates& rates, const std::string& model, const prefill_sample& sample) {
    if (sample.tokens < least_tokens || sample.pending_ms > most_pending_ms) {
        return;
    }
    const double seen = std::max(double(sample.took.count()) - fixed_ms, 0.0) / sample.tokens;
    auto& rate = rates.ms_per_token.emplace(model, unknown_ms_per_token).first->second;
    rate += (seen < rate ? weight_of_low : weight_of_high) * (seen - rate);
}

double prefill_ms(const prefill_rates& rates, const std::string& model, double tokens) {
    const auto found = rates.ms_per_token.find(model);
    return tokens * (found == rates.ms_per_token.end() ? unknown_ms_per_token : found->second);
}

void note_prefixes(prefix_memory& memory, const std::string& upstream, const std::vector<prompt_step>& shared,
                   core::steady_time now) {
    auto& kept = memory.kept[upstream];
    for (const auto& step : shared) {
        kept[step.chain] = now;
    }
    if (kept.size() <= max_prefixes_per_upstream) {
        return;
    }
    core::erase_where(kept, [&](core::steady_time at, std::uint64_t) { return now - at > prefix_lifetime; });
}

std::int64_t cached_tokens(const prefix_memory& memory, const std::string& upstream,
                           const std::vector<prompt_step>& shared, core::steady_time now) {
    const auto found = memory.kept.find(upstream);
    if (found == memory.kept.end()) {
        return 0;
    }
    std::int64_t tokens = 0;
    for (const auto& step : shared) {
        const auto kept = found->second.find(step.chain);
        if (kept == found->second.end() || now - kept->second > prefix_lifetime) {
            break;
        }
        tokens += step.tokens;
    }
    return tokens;
}

} // namespace figspoke::policy
