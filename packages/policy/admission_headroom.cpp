#include "policy/admission_headroom.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

constexpr double decay_time_s = 10;
// Less than the 5 in 100 that a p95 target allows, since arrivals and service are burstier than the model.
constexpr double max_delayed_fraction = 0.03;

// Less than one arrival in 50 s doesn't justify a reserved slot, and a decaying rate never reaches zero.
constexpr double min_arrivals_per_s = 0.02;

} // namespace

void record_event(event_rate& rate, core::steady_time now) {
    rate.events_per_s = rate_at(rate, now) + 1 / decay_time_s;
    rate.updated_at = std::max(rate.updated_at, now);
}

double rate_at(const event_rate& rate, core::steady_time now) {
    const double elapsed_s = std::max(0.0, core::to_seconds(now - rate.updated_at));
    return rate.events_per_s * std::exp(-elapsed_s / decay_time_s);
}

// Models the number of free slots as a birth-death process: an arrival takes a slot, a completion returns one
// until the reserve is full again. If r is the ratio of the arrival rate to the completion rate, all n
// reserved slots are taken with probability r^n (1 - r) / (1 - r^(n + 1)); an arrival then waits for a
// completion.
std::size_t slots_to_reserve(double arrivals_per_s, double completions_per_s,
                             std::chrono::milliseconds tolerated_wait, std::size_t max_slots) {
    if (arrivals_per_s < min_arrivals_per_s || completions_per_s <= 0) {
        return 0;
    }
    // The formula below is undefined at a ratio of exactly 1.
    const double ratio = std::min(arrivals_per_s / completions_per_s, 0.999);
    const double p_wait_too_long = std::exp(-completions_per_s * core::to_seconds(tolerated_wait));
    for (std::size_t slots = 0; slots < max_slots; ++slots) {
        const auto n = static_cast<double>(slots);
        const double p_no_free_slot = std::pow(ratio, n) * (1 - ratio) / (1 - std::pow(ratio, n + 1));
        if (p_no_free_slot * p_wait_too_long <= max_delayed_fraction) {
            return slots;
        }
    }
    return max_slots;
}

} // namespace figspoke::policy
