#include "policy/admission_headroom.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

constexpr double memory_s = 10;
// Below the 5 in 100 of a p95 target, since arrivals and service are burstier than the model.
constexpr double waiting_share = 0.03;

// Less than one arrival in 50 s isn't worth a slot; a rate that decays never reaches zero.
constexpr double negligible_per_s = 0.02;

} // namespace

void note_event(event_rate& rate, core::steady_time now) {
    rate.per_s = rate_at(rate, now) + 1 / memory_s;
    rate.updated = std::max(rate.updated, now);
}

double rate_at(const event_rate& rate, core::steady_time now) {
    const double elapsed = std::max(0.0, core::to_seconds(now - rate.updated));
    return rate.per_s * std::exp(-elapsed / memory_s);
}

// The number of free slots is taken as a birth and death process: arrivals take one, completions return one
// until the reserve is full again. With ratio r of the two rates, all n reserved slots are taken with a
// probability of r^n (1 - r) / (1 - r^(n + 1)); an arrival then waits for a completion.
std::size_t slots_for_arrivals(double arrivals_per_s, double completions_per_s,
                               std::chrono::milliseconds tolerated, std::size_t most) {
    if (arrivals_per_s < negligible_per_s || completions_per_s <= 0) {
        return 0;
    }
    // The form below is undefined at a ratio of exactly 1.
    const double ratio = std::min(arrivals_per_s / completions_per_s, 0.999);
    const double waits_longer = std::exp(-completions_per_s * core::to_seconds(tolerated));
    for (std::size_t slots = 0; slots < most; ++slots) {
        const auto n = static_cast<double>(slots);
        const double none_free = std::pow(ratio, n) * (1 - ratio) / (1 - std::pow(ratio, n + 1));
        if (none_free * waits_longer <= waiting_share) {
            return slots;
        }
    }
    return most;
}

} // namespace figspoke::policy
