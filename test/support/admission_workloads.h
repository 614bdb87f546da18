#pragma once

#include <string>
#include <vector>

#include "support/admission_sim.h"

/// The workloads of docs/measurements.md; each returns one figure.
namespace figspoke::test {

/// Adds one stream per account; the accounts divide the load evenly.
inline void add_streams(std::vector<sim_stream>& streams, core::priority priority, int accounts, double load,
                        double mean_work_s, double slack_s) {
    for (int i = 0; i < accounts; ++i) {
        streams.push_back({priority, "c" + std::to_string(i), load / accounts, mean_work_s, slack_s, 1,
                           priority == core::priority::batch});
    }
}

inline std::vector<sim_stream> urgent_streams(double load) {
    std::vector<sim_stream> streams;
    add_streams(streams, core::priority::urgent, 10, load, 1, 2);
    return streams;
}

inline bool is_urgent(const sim_stream& stream) {
    return stream.priority == core::priority::urgent;
}

/// p95 of the time to first token of urgent work while batch work offers ten times the capacity, relative to
/// urgent work alone.
inline double urgent_p95_flood(const sim_settings& settings) {
    auto streams = urgent_streams(0.25);
    const double alone = first_token_p95(streams, simulate(settings, streams), is_urgent);
    add_streams(streams, core::priority::batch, 10, 10, 4, 60);
    return first_token_p95(streams, simulate(settings, streams), is_urgent) / alone;
}

/// Smallest fraction of its floor, at most 1, that a lower priority is served while urgent work offers ten
/// times the capacity.
inline double floor_kept_urgent_flood(const sim_settings& settings) {
    auto streams = urgent_streams(10);
    add_streams(streams, core::priority::normal, 10, 0.5, 2, 10);
    add_streams(streams, core::priority::batch, 10, 0.5, 4, 60);
    const auto stats = simulate(settings, streams);
    double kept = 1;
    for (const auto priority : {core::priority::normal, core::priority::batch}) {
        double served = 0;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            served += streams[i].priority == priority ? stats[i].served_s : 0;
        }
        const double floor = settings.admission.floors.at(static_cast<std::size_t>(priority));
        kept = std::min(kept, served / settings.duration_s / settings.slots / floor);
    }
    return kept;
}

/// p95 of the time to first token of nine small accounts while another asks for 20 times its share, relative
/// to the small accounts alone.
inline double small_caller_p95(const sim_settings& settings) {
    std::vector<sim_stream> streams;
    add_streams(streams, core::priority::normal, 9, 0.27, 2, 10);
    const auto is_small = [](const sim_stream& stream) { return stream.account != "large"; };
    const double alone = first_token_p95(streams, simulate(settings, streams), is_small);
    streams.push_back({core::priority::normal, "large", 2.0, 2, 10, 1, false});
    return first_token_p95(streams, simulate(settings, streams), is_small) / alone;
}

/// Streams of all priorities that together offer ten times the capacity.
inline std::vector<sim_stream> full_flood_streams() {
    auto streams = urgent_streams(2);
    add_streams(streams, core::priority::normal, 10, 4, 2, 10);
    add_streams(streams, core::priority::batch, 10, 4, 4, 60);
    return streams;
}

/// Work that finishes before its deadline as a fraction of the capacity, while all priorities together offer
/// ten times the capacity.
inline double goodput_flood(const sim_settings& settings) {
    double in_time = 0;
    for (const auto& stats : simulate(settings, full_flood_streams())) {
        in_time += stats.in_time_s;
    }
    return in_time / settings.duration_s / settings.slots;
}

/// Fraction of its floor that urgent work is served under the same load.
inline double urgent_floor_flood(const sim_settings& settings) {
    const auto streams = full_flood_streams();
    const auto stats = simulate(settings, streams);
    double served = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        served += is_urgent(streams[i]) ? stats[i].served_s : 0;
    }
    return served / settings.duration_s / settings.slots / settings.admission.floors[0];
}

/// Goodput while batch work offers ten times the capacity and urgent work a quarter of it: the cost of short
/// waits.
inline double goodput_batch_flood(const sim_settings& settings) {
    auto streams = urgent_streams(0.25);
    add_streams(streams, core::priority::batch, 10, 10, 4, 60);
    double in_time = 0;
    for (const auto& stats : simulate(settings, streams)) {
        in_time += stats.in_time_s;
    }
    return in_time / settings.duration_s / settings.slots;
}

} // namespace figspoke::test
