#pragma once

#include <cstdint>
#include <string>

#include "standins/run.h"

namespace figspoke::standins {

/// Start values of the platform's VM list, weight store and rating service.
struct platform_options {
    std::uint64_t seed = 1;
    int load_duration_ms = 200;
    int loads_per_minute = 60;
};

/// Builds the VM list, weight store and rating service.
standin_role make_platform(const platform_options& options);

} // namespace figspoke::standins
