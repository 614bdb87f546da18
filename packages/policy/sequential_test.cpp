#include "policy/sequential_test.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace figspoke::policy {
namespace {

// Priors of the stable version's rates and the number of trials that they count for. Without them, the first
// few outcomes of a version with little traffic could set its rate to 0.
constexpr double prior_failure_rate = 0.02;
constexpr double prior_flag_rate = 0.15;
constexpr double prior_trials = 10;
constexpr double min_rate = 0.005;
constexpr double max_rate = 0.95;

using evidence_totals = std::map<evidence_key, outcome_counts>;

// A total falls where a source is dropped. That is no evidence, so the difference is at least 0.
std::uint64_t increase_of(std::uint64_t now, std::uint64_t before) {
    return now > before ? now - before : 0;
}

outcome_counts difference(const outcome_counts& a, const outcome_counts& b) {
    return {increase_of(a.answered, b.answered), increase_of(a.failed, b.failed),
            increase_of(a.flagged, b.flagged), increase_of(a.rated_passed, b.rated_passed),
            increase_of(a.rated_failed, b.rated_failed)};
}

outcome_rates rates_of(const outcome_counts& counts) {
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    return {{number(counts.failed), number(counts.failed + counts.answered)},
            {number(counts.flagged), number(counts.answered)},
            {number(counts.rated_failed), number(counts.rated_failed + counts.rated_passed)}};
}

rate_counts decay_and_add(const rate_counts& a, const rate_counts& b, double factor) {
    return {a.hits * factor + b.hits, a.trials * factor + b.trials};
}

outcome_rates decay_and_add(const outcome_rates& a, const outcome_rates& b, double factor) {
    return {decay_and_add(a.failures, b.failures, factor), decay_and_add(a.flags, b.flags, factor),
            decay_and_add(a.failed_ratings, b.failed_ratings, factor)};
}

// The rate of the stable version plus one standard deviation, so that the uncertainty of that rate doesn't
// stop a version that is as good.
double cautious_rate(const rate_counts& counts, double prior) {
    const double trials = counts.trials + prior_trials;
    const double mean = (counts.hits + prior * prior_trials) / trials;
    return std::clamp(mean + std::sqrt(mean * (1 - mean) / trials), min_rate, max_rate);
}

// Returns the rate under the hypothesis that a version is good: the larger of the stable version's overall
// and recent rates.
double good_rate(const rate_counts& all, const rate_counts& recent, double prior) {
    return std::max(cautious_rate(all, prior), cautious_rate(recent, prior));
}

double log_likelihood_ratio(const rate_counts& observed, double good, double increase) {
    const double bad = std::min(good + increase, 0.99);
    return observed.hits * std::log(bad / good) +
           (observed.trials - observed.hits) * std::log((1 - bad) / (1 - good));
}

// Returns the active version of the model with the largest roll-out weight; null if none is active.
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

// Returns the log-likelihood ratios of a version's new counts of one task kind.
log_likelihood_ratios ratios_of_task(const sequential_test_state& state,
                                     const sequential_test_settings& settings,
                                     const core::model_version& stable, const std::string& task,
                                     const outcome_rates& new_counts, const outcome_counts& stable_total) {
    const auto all = rates_of(stable_total);
    const auto found = state.recent.find({stable.id, task});
    const auto recent = found == state.recent.end() ? outcome_rates{} : found->second;
    return {log_likelihood_ratio(new_counts.failures,
                                 good_rate(all.failures, recent.failures, prior_failure_rate),
                                 settings.failure_rate_increase),
            log_likelihood_ratio(new_counts.flags, good_rate(all.flags, recent.flags, prior_flag_rate),
                                 settings.flag_rate_increase) +
                log_likelihood_ratio(new_counts.failed_ratings,
                                     good_rate(all.failed_ratings, recent.failed_ratings, 1 - stable.quality),
                                     settings.failed_rating_increase)};
}

outcome_counts total_of(const evidence_totals& totals, const std::string& version) {
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

version_stop make_stop(const core::model_version& version, const core::model_version& stable, double ratio,
                       double threshold, const evidence_totals& totals) {
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

void add_to_ratios(sequential_test_state& state, const sequential_test_settings& settings,
                   const core::config_snapshot& config, const evidence_totals& totals,
                   const evidence_totals& new_counts) {
    std::map<std::string, log_likelihood_ratios> increments;
    for (const auto& [key, counts] : new_counts) {
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
        increments[key.first].failures += ratios.failures;
        increments[key.first].answers += ratios.answers;
    }
    // CUSUM (Page's form of the test): the ratio doesn't fall below 0, so that a long good period before a
    // version turns bad doesn't delay the stop.
    // Failures and answers are tested separately: a version with wrong answers has no failures, which in one
    // sum would count as evidence that it is good.
    for (const auto& [version, increment] : increments) {
        auto& ratios = state.ratios[version];
        ratios.failures = std::max(0.0, ratios.failures + increment.failures);
        ratios.answers = std::max(0.0, ratios.answers + increment.answers);
    }
}

evidence_totals take_new_counts(sequential_test_state& state, const sequential_test_settings& settings,
                                const evidence_totals& totals, core::steady_time now) {
    const double decay =
        std::exp2(-core::to_seconds(now - state.updated_at) / core::to_seconds(settings.recent_half_life));
    evidence_totals new_counts;
    for (const auto& [key, counts] : totals) {
        new_counts[key] = difference(counts, state.last_totals[key]);
        state.recent[key] = decay_and_add(state.recent[key], rates_of(new_counts[key]), decay);
    }
    state.last_totals = totals;
    state.updated_at = now;
    return new_counts;
}

} // namespace

std::vector<version_stop> update_sequential_test(sequential_test_state& state,
                                                 const sequential_test_settings& settings,
                                                 const core::config_snapshot& config,
                                                 const version_evidence& evidence, core::steady_time now) {
    const auto totals = sum_evidence(evidence);
    const auto new_counts = take_new_counts(state, settings, totals, now);
    add_to_ratios(state, settings, config, totals, new_counts);
    std::vector<version_stop> stops;
    for (auto& [id, ratios] : state.ratios) {
        const auto version = config.versions.find(id);
        // The test of a withdrawn version starts anew when an operator activates it again.
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
            stops.push_back(make_stop(version->second, *stable, ratio, settings.threshold, totals));
        }
    }
    return stops;
}

} // namespace figspoke::policy
