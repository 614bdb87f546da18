#pragma once

#include <string>
#include <vector>

#include "support/admission_sim.h"

/// The workloads of docs/measurements.md, each reduced to one figure.
namespace figspoke::test {

/// One account for each name at an even part of the load.
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

/// p95 of urgent first token under a tenfold flood of batch work, relative to urgent work alone.
inline double urgent_p95_flood(const sim_settings& settings) {
    auto streams = urgent_streams(0.25);
    const double alone = first_token_p95(streams, simulate(settings, streams), is_urgent);
    add_streams(streams, core::priority::batch, 10, 10, 4, 60);
    return first_token_p95(streams, simulate(settings, streams), is_urgent) / alone;
}

/// The least part of its floor that a lower priority keeps under a tenfold flood of urgent work.
inline double floor_kept_urgent_flood(const sim_settings& settings) {
    auto streams = urgent_streams(10);
    add_streams(streams, core::priority::normal, 10, 0.5, 2, 10);
    add_streams(streams, core::priority::batch, 10, 0.5, 4, 60);
    const auto figures = simulate(settings, streams);
    double kept = 1;
    for (const auto priority : {core::priority::normal, core::priority::batch}) {
        double served = 0;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            served += streams[i].priority == priority ? figures[i].served_s : 0;
        }
        const double floor = settings.admission.floors.at(static_cast<std::size_t>(priority));
        kept = std::min(kept, served / settings.duration_s / settings.slots / floor);
    }
    return kept;
}

/// p95 of first token of nine small accounts beside one that asks 20 times its share, relative to them alone.
inline double small_caller_p95(const sim_settings& settings) {
    std::vector<sim_stream> streams;
    add_streams(streams, core::priority::normal, 9, 0.27, 2, 10);
    const auto is_small = [](const sim_stream& stream) { return stream.account != "large"; };
    const double alone = first_token_p95(streams, simulate(settings, streams), is_small);
    streams.push_back({core::priority::normal, "large", 2.0, 2, 10, 1, false});
    return first_token_p95(streams, simulate(settings, streams), is_small) / alone;
}

/// Ten times the capacity over all priorities.
inline std::vector<sim_stream> full_flood_streams() {
    auto streams = urgent_streams(2);
    add_streams(streams, core::priority::normal, 10, 4, 2, 10);
    add_streams(streams, core::priority::batch, 10, 4, 4, 60);
    return streams;
}

/// Work finished before its deadline as a part of capacity, at ten times the capacity over all priorities.
inline double goodput_flood(const sim_settings& settings) {
    double in_time = 0;
    for (const auto& figures : simulate(settings, full_flood_streams())) {
        in_time += figures.in_time_s;
    }
    return in_time / settings.duration_s / settings.slots;
}

/// The part of its own floor that urgent work is served in the same flood.
inline double urgent_floor_flood(const sim_settings& settings) {
    const auto streams = full_flood_streams();
    const auto figures = simulate(settings, streams);
    double served = 0;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        served += is_urgent(streams[i]) ? figures[i].served_s : 0;
    }
    return served / settings.duration_s / settings.slots / settings.admission.floors[0];
}

/// Goodput while batch work floods and urgent work asks for a quarter of capacity: the price of short waits.
inline double goodput_batch_flood(const sim_settings& settings) {
    auto streams = urgent_streams(0.25);
    add_streams(streams, core::priority::batch, 10, 10, 4, 60);
    double in_time = 0;
    for (const auto& figures : simulate(settings, streams)) {
        in_time += figures.in_time_s;
    }
    return in_time / settings.duration_s / settings.slots;
}

} // namespace figspoke::test
