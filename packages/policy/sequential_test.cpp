#include "policy/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace figspoke::policy {
namespace {

// Priors of the stable version's rates and the trials that they count for. They keep the first few
// outcomes of a quiet version from setting its rate to 0.
constexpr double prior_failures = 0.02;
constexpr double prior_flags = 0.15;
constexpr double prior_trials = 10;
constexpr double least_rate = 0.005;
constexpr double largest_rate = 0.95;

using sums = std::map<evidence_key, outcome_counts>;

// A source that was dropped lowers a sum; that is no negative evidence.
std::uint64_t growth(std::uint64_t now, std::uint64_t before) {
    return now > before ? now - before : 0;
}

outcome_counts difference(const outcome_counts& a, const outcome_counts& b) {
    return {growth(a.answered, b.answered), growth(a.failed, b.failed), growth(a.flagged, b.flagged),
            growth(a.rated_passed, b.rated_passed), growth(a.rated_failed, b.rated_failed)};
}

outcome_rates rates_of(const outcome_counts& counts) {
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    return {{number(counts.failed), number(counts.failed + counts.answered)},
            {number(counts.flagged), number(counts.answered)},
            {number(counts.rated_failed), number(counts.rated_failed + counts.rated_passed)}};
}

rate_counts sum(const rate_counts& a, const rate_counts& b, double factor) {
    return {a.hits * factor + b.hits, a.trials * factor + b.trials};
}

outcome_rates sum(const outcome_rates& a, const outcome_rates& b, double factor) {
    return {sum(a.failures, b.failures, factor), sum(a.flags, b.flags, factor),
            sum(a.failed_ratings, b.failed_ratings, factor)};
}

// The rate of the stable version, one standard deviation up: its own uncertainty must not stop a version
// that is as good.
double cautious_rate(const rate_counts& counts, double prior) {
    const double trials = counts.trials + prior_trials;
    const double mean = (counts.hits + prior * prior_trials) / trials;
    return std::clamp(mean + std::sqrt(mean * (1 - mean) / trials), least_rate, largest_rate);
}

double good_rate(const rate_counts& all, const rate_counts& recent, double prior) {
    return std::max(cautious_rate(all, prior), cautious_rate(recent, prior));
}

double log_ratio(const rate_counts& seen, double good, double worse) {
    const double bad = std::min(good + worse, 0.99);
    return seen.hits * std::log(bad / good) + (seen.trials - seen.hits) * std::log((1 - bad) / (1 - good));
}

const core::model_version* stable_version(const core::config_snapshot& config, const std::string& model) {
    const core::model_version* stable = nullptr;
    for (const auto& [id, version] : config.versions) {
        if (version.model == model && version.state == core::version_state::active &&
            (stable == nullptr || version.rollout_percent > stable->rollout_percent)) {
            stable = &version;
        }
    }
    return stable;
}

version_ratios ratios_of_task(const sequential_state& state, const sequential_settings& settings,
                              const core::model_version& stable, const std::string& task,
                              const outcome_rates& fresh, const outcome_counts& stable_total) {
    const auto all = rates_of(stable_total);
    const auto found = state.recent.find({stable.id, task});
    const auto recent = found == state.recent.end() ? outcome_rates{} : found->second;
    return {log_ratio(fresh.failures, good_rate(all.failures, recent.failures, prior_failures),
                      settings.worse_failures),
            log_ratio(fresh.flags, good_rate(all.flags, recent.flags, prior_flags), settings.worse_flags) +
                log_ratio(fresh.failed_ratings,
                          good_rate(all.failed_ratings, recent.failed_ratings, 1 - stable.quality),
                          settings.worse_ratings)};
}

outcome_counts total_of(const sums& totals, const std::string& version) {
    outcome_counts total;
    for (const auto& [key, counts] : totals) {
        if (key.first == version) {
            total.answered += counts.answered;
            total.failed += counts.failed;
            total.flagged += counts.flagged;
            total.rated_passed += counts.rated_passed;
            total.rated_failed += counts.rated_failed;
        }
    }
    return total;
}

std::string describe(const outcome_counts& counts) {
    const auto text = [](std::uint64_t value) { return std::to_string(value); };
    return text(counts.failed) + " of " + text(counts.failed + counts.answered) + " failed, " +
           text(counts.flagged) + " of " + text(counts.answered) + " flagged, " + text(counts.rated_failed) +
           " of " + text(counts.rated_failed + counts.rated_passed) + " rated as failed";
}

version_stop stop_of(const core::model_version& version, const core::model_version& stable, double ratio,
                     double threshold, const sums& totals) {
    std::array<char, 64> ratios{};
    std::snprintf(ratios.data(), ratios.size(), "%.1f, threshold %.1f", ratio, threshold);
    return {version.id,
            stable.id,
            {{"state", "withdrawn"}, {"rollout_percent", "0"}},
            "version \"" + version.id + "\" is worse than \"" + stable.id + "\" (log likelihood ratio " +
                ratios.data() + "): " + describe(total_of(totals, version.id)) +
                "; stable version: " + describe(total_of(totals, stable.id)),
            ratio};
}

void add_to_ratios(sequential_state& state, const sequential_settings& settings,
                   const core::config_snapshot& config, const sums& totals, const sums& fresh) {
    std::map<std::string, version_ratios> steps;
    for (const auto& [key, counts] : fresh) {
        const auto version = config.versions.find(key.first);
        if (version == config.versions.end()) {
            continue;
        }
        const auto* stable = stable_version(config, version->second.model);
        if (stable == nullptr || stable->id == key.first) {
            continue;
        }
        const auto total = totals.find({stable->id, key.second});
        const auto ratios = ratios_of_task(state, settings, *stable, key.second, rates_of(counts),
                                           total == totals.end() ? outcome_counts{} : total->second);
        steps[key.first].failures += ratios.failures;
        steps[key.first].answers += ratios.answers;
    }
    // Page's form of the test: the ratio is cut off at 0, so that a long good time before a version turns
    // bad doesn't delay the stop.
    // Failures and answers are tested apart: a version with wrong answers shows no failures, which in one
    // sum would count as evidence that it is good.
    for (const auto& [version, step] : steps) {
        auto& ratios = state.ratios[version];
        ratios.failures = std::max(0.0, ratios.failures + step.failures);
        ratios.answers = std::max(0.0, ratios.answers + step.answers);
    }
}

sums take_fresh(sequential_state& state, const sequential_settings& settings, const sums& totals,
                core::steady_time now) {
    const double kept =
        std::exp2(-core::to_seconds(now - state.stepped_at) / core::to_seconds(settings.recent));
    sums fresh;
    for (const auto& [key, counts] : totals) {
        fresh[key] = difference(counts, state.seen[key]);
        state.recent[key] = sum(state.recent[key], rates_of(fresh[key]), kept);
    }
    state.seen = totals;
    state.stepped_at = now;
    return fresh;
}

} // namespace

std::vector<version_stop> step_sequential_test(sequential_state& state, const sequential_settings& settings,
                                               const core::config_snapshot& config,
                                               const version_evidence& evidence, core::steady_time now) {
    const auto totals = sum_evidence(evidence);
    const auto fresh = take_fresh(state, settings, totals, now);
    add_to_ratios(state, settings, config, totals, fresh);
    std::vector<version_stop> stops;
    for (auto& [id, ratios] : state.ratios) {
        const auto version = config.versions.find(id);
        // An operator who activates a stopped version again starts a new test.
        if (version == config.versions.end() || version->second.state == core::version_state::withdrawn) {
            ratios = {};
            continue;
        }
        const double ratio = std::max(ratios.failures, ratios.answers);
        if (ratio < settings.threshold) {
            continue;
        }
        const auto* stable = stable_version(config, version->second.model);
        if (stable != nullptr && stable->id != id) {
            stops.push_back(stop_of(version->second, *stable, ratio, settings.threshold, totals));
        }
    }
    return stops;
}

} // namespace figspoke::policy
