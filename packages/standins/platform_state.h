#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/time.h"

namespace figspoke::standins {

struct vm_entry {
    std::string id;
    std::string address;
    std::string failure_domain;
    std::string state = "live";
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(vm_entry, id, address, failure_domain, state)

/// VM lists by the time from which they are shown.
struct vm_history {
    std::deque<std::pair<core::steady_time, std::vector<vm_entry>>> lists;
};

/// The weight store's token bucket.
struct weight_bucket {
    double tokens = 0;
    std::optional<core::steady_time> refilled;
};

struct rating {
    std::uint64_t seq = 0;
    core::steady_time visible_at{};
    std::string request_id;
    std::string version;
    std::string task;
    bool passed = false;
};

/// An answer that was handed in for rating.
struct rating_request {
    std::string request_id;
    std::string version;
    std::string task;
    std::string answer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(rating_request, request_id, version, task, answer)

/// How answers are rated: the pass rate by version (1 where absent) and the share that is rated.
struct rating_rules {
    std::uint64_t seed = 1;
    std::map<std::string, double> pass_rate;
    double sample = 1;
    core::milliseconds lag{0};
};

/// Adds a VM list that is shown from the given time on.
void set_vms(vm_history& history, std::vector<vm_entry> vms, core::steady_time visible_at);

/// Returns the list that is shown now.
std::vector<vm_entry> visible_vms(vm_history& history, core::steady_time now);

/// Takes a token from the bucket, which holds ten seconds' worth. Returns the time to wait, or zero.
core::milliseconds take_load(weight_bucket& bucket, double loads_per_minute, core::steady_time now);

/// Rates an answer. Empty where it isn't in the sample. Equal seeds and request ids give equal ratings.
std::optional<rating> rate(const rating_rules& rules, const rating_request& request);

} // namespace figspoke::standins
