#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

struct stream_pace_settings {
    /// A stream is slow from this multiple of the usual time between events at its load.
    double slow_factor = 3;
    /// Streams that the usual time needs.
    int min_streams = 3;
    /// Events and time that the pace of one stream needs.
    std::size_t min_events = 4;
    core::milliseconds min_duration{200};
    /// Weight of the newest stream in the usual time.
    double newest_weight = 0.2;
    std::size_t max_models = 256;
};

/// Number of ranges of the load of an upstream, each twice as wide as the one before.
inline constexpr std::size_t load_ranges = 8;

/// Usual time between events of streams, by model and load of the upstream.
struct stream_paces {
    struct pace {
        double ms_per_event = 0;
        int streams = 0;
    };
    std::map<std::string, std::array<pace, load_ranges>> models;
};

/// The latest times between events of a stream, in milliseconds.
struct event_gaps {
    std::array<double, 16> latest{};
    std::size_t count = 0;
};

/// Records that `events` events arrived `since_last` after the ones before them.
void record_gap(event_gaps& gaps, std::chrono::microseconds since_last, std::size_t events);

/// Returns the median of the latest times between events; empty without any.
std::optional<double> median_gap_ms(const event_gaps& gaps);

/// Events of a stream, the time from the first to the last of them, and the number of requests on its
/// upstream.
struct paced_events {
    std::size_t events = 0;
    core::milliseconds duration{0};
    int load = 0;
    /// Median time between events; empty where only the mean is known.
    std::optional<double> median_gap_ms = std::nullopt;
};

/// Records a stream of the version that others are compared with.
void learn_pace(stream_paces& paces, const stream_pace_settings& settings, const std::string& model,
                const paced_events& progress);

/// Returns the time between a stream's events relative to what is usual for its model at this load; empty
/// while that isn't known or the stream is too short.
std::optional<double> relative_pace(const stream_paces& paces, const stream_pace_settings& settings,
                                    const std::string& model, const paced_events& progress);

/// Returns whether a stream is several times slower than is usual for its model at this load or the next
/// higher one that is known. False while none is.
bool is_slow_stream(const stream_paces& paces, const stream_pace_settings& settings, const std::string& model,
                    const paced_events& progress);

} // namespace figspoke::policy
