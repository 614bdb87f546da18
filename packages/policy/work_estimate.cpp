#include "policy/work_estimate.h"

#include <algorithm>

#include "core/time.h"

namespace figspoke::policy {
namespace {

// Task kinds come from callers, so their number is bounded.
constexpr std::size_t max_tasks = 64;
// Callers usually allow more tokens than they use; one half is assumed for an unknown account.
constexpr double prior_ratio = 0.5;
constexpr double prior_count = 4;
// Bounds the weight of older requests so that the mean follows a change in use.
constexpr double max_count = 50;
// Ratio of prefill to decode speed, since prompt tokens are processed in parallel. The version's time to
// first token covers a short prompt.
constexpr double prefill_speedup = 50;

void add_sample(ratio_mean& value, double ratio) {
    value.count = std::min(value.count + 1, max_count);
    value.mean += (ratio - value.mean) / value.count;
}

double blend_with_prior(const ratio_mean& value, double prior) {
    return (value.mean * value.count + prior * prior_count) / (value.count + prior_count);
}

double blend_known_task(const account_ratios& account, const std::string& task, double prior) {
    const auto found = account.tasks.find(task);
    return found == account.tasks.end() ? prior : blend_with_prior(found->second, prior);
}

} // namespace

void record_generated_tokens(generation_ratios& ratios, const request_size& size,
                             std::int64_t generated_tokens) {
    if (size.max_tokens <= 0) {
        return;
    }
    const double ratio = static_cast<double>(generated_tokens) / static_cast<double>(size.max_tokens);
    auto& tasks = ratios.accounts[size.account].tasks;
    add_sample(tasks[""], std::clamp(ratio, 0.0, 1.0));
    const bool known = tasks.count(size.task) > 0 || tasks.size() <= max_tasks;
    if (!size.task.empty() && known) {
        add_sample(tasks[size.task], std::clamp(ratio, 0.0, 1.0));
    }
}

double expected_tokens(const generation_ratios& ratios, const request_size& size) {
    double ratio = prior_ratio;
    const auto found = ratios.accounts.find(size.account);
    if (found != ratios.accounts.end()) {
        ratio = blend_known_task(found->second, "", ratio);
        ratio = size.task.empty() ? ratio : blend_known_task(found->second, size.task, ratio);
    }
    return ratio * static_cast<double>(std::max<std::int64_t>(0, size.max_tokens));
}

double expected_work(const generation_ratios& ratios, const request_size& size,
                     const core::model_version& version) {
    const double speed = std::max(version.tokens_per_s, 0.1);
    const double prompt = static_cast<double>(std::max<std::int64_t>(0, size.prompt_tokens));
    return core::to_seconds(version.first_token) + prompt / (speed * prefill_speedup) +
           expected_tokens(ratios, size) / speed;
}

} // namespace figspoke::policy
