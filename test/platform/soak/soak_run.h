#pragma once

#include <map>
#include <string>
#include <vector>

#include "platform/soak/fault_plan.h"

namespace figspoke::soak {

struct soak_settings {
    plan_settings plan;
    std::size_t nodes = 4;
    std::size_t engines = 3;
    std::size_t callers = 24;
};

struct soak_report {
    std::vector<std::string> broken;
    /// How requests ended, by status or cause.
    std::map<std::string, int> outcomes;
    std::size_t faults = 0;
    /// Longest time for which the soak itself was held up, for example by other work on the machine.
    core::milliseconds longest_delay{0};
    /// Where the output of the nodes was copied to, if a promise was broken.
    std::string kept_output;
};

/// Runs nodes as processes before a store and engines on loopback, sends requests, injects the planned faults
/// and checks the promises. After the last fault all is mended, and nodes have to serve every request again.
soak_report run_soak(const soak_settings& settings);

} // namespace figspoke::soak
