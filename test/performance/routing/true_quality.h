#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include "policy/plan_choice.h"

namespace figspoke::trials {

/// Mean true quality of plans over the difficulty of prompts, computed once for each 30 s of a trace.
struct true_quality {
    using key = std::tuple<std::size_t, std::string, std::string, int>;
    std::uint64_t seed = 1;
    std::map<key, policy::quality_estimate> known;
};

/// Returns the true quality of a plan, with no deviation.
policy::quality_estimate true_quality_of(true_quality& cache, std::size_t task, const std::string& version,
                                         const std::string& escalate_to, double at_s);

} // namespace figspoke::trials
