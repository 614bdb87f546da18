#include "policy/stream_pace.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Prefills of other prompts delay single events by many times the usual gap. The median doesn't move with
// them, as the mean does.
double ms_per_event(const paced_events& progress) {
    return progress.median_gap_ms.value_or(double(progress.duration.count()) / double(progress.events - 1));
}

std::size_t load_range(int load) {
    std::size_t range = 0;
    for (int upper = 1; load > upper && range + 1 < load_ranges; upper *= 2) {
        ++range;
    }
    return range;
}

} // namespace

void record_gap(event_gaps& gaps, std::chrono::microseconds since_last, std::size_t events) {
    if (events == 0) {
        return;
    }
    const double gap = double(since_last.count()) / 1000 / double(events);
    gaps.latest.at(gaps.count % gaps.latest.size()) = gap;
    ++gaps.count;
}

std::optional<double> median_gap_ms(const event_gaps& gaps) {
    const auto known = std::min(gaps.count, gaps.latest.size());
    if (known == 0) {
        return std::nullopt;
    }
    auto sorted = gaps.latest;
    const auto middle = sorted.begin() + std::ptrdiff_t(known / 2);
    std::nth_element(sorted.begin(), middle, sorted.begin() + std::ptrdiff_t(known));
    return *middle;
}

void learn_pace(stream_paces& paces, const stream_pace_settings& settings, const std::string& model,
                const paced_events& progress) {
    const bool known = paces.models.count(model) > 0;
    if (progress.events < settings.min_events || (!known && paces.models.size() >= settings.max_models)) {
        return;
    }
    auto& pace = paces.models[model].at(load_range(progress.load));
    const double weight = pace.streams > 0 ? settings.newest_weight : 1;
    pace.ms_per_event += weight * (ms_per_event(progress) - pace.ms_per_event);
    ++pace.streams;
}

std::optional<double> relative_pace(const stream_paces& paces, const stream_pace_settings& settings,
                                    const std::string& model, const paced_events& progress) {
    const auto found = paces.models.find(model);
    if (found == paces.models.end() || progress.events < settings.min_events) {
        return std::nullopt;
    }
    const auto& pace = found->second.at(load_range(progress.load));
    if (pace.streams < settings.min_streams || pace.ms_per_event <= 0) {
        return std::nullopt;
    }
    return ms_per_event(progress) / pace.ms_per_event;
}

// An upstream generates more slowly the more requests it runs. During a roll-out the new version runs few and
// the old one many, so that a comparison without regard to load hides a version that is several times slower.
bool is_slow_stream(const stream_paces& paces, const stream_pace_settings& settings, const std::string& model,
                    const paced_events& progress) {
    const auto found = paces.models.find(model);
    if (found == paces.models.end() || progress.events < settings.min_events ||
        progress.duration < settings.min_duration) {
        return false;
    }
    const auto& ranges = found->second;
    const auto usual =
        std::find_if(ranges.begin() + std::ptrdiff_t(load_range(progress.load)), ranges.end(),
                     [&](const stream_paces::pace& pace) { return pace.streams >= settings.min_streams; });
    return usual != ranges.end() && ms_per_event(progress) >= settings.slow_factor * usual->ms_per_event;
}

} // namespace figspoke::policy
