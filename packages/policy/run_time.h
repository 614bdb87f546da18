#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// Mean time and size of the recent runs of one kind of request.
struct run_time {
    double ms = 0;
    double size = 0;
};

/// Learned times of runs on upstreams, by route. They tell how long a request will occupy an upstream before
/// it has run, under any load.
struct run_times {
    std::map<std::string, run_time> routes;
};

/// Learns from a run that succeeded. `size` is the expected work of the request in any unit.
void learn_run(run_times& times, const std::string& route, core::milliseconds run, double size);

/// Returns the expected time of a run; zero for a route without any.
core::milliseconds expected_run(const run_times& times, const std::string& route, double size);

} // namespace figspoke::policy
