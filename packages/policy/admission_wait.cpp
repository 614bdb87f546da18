#include "policy/admission_wait.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// One day; longer waits only risk overflow of the clock's integer.
constexpr double longest_s = 86400;

std::chrono::nanoseconds to_duration(double value) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(std::clamp(value, 0.0, longest_s)));
}

// Round robin serves an account in proportion to its weight, so a short queue of its own means a short wait
// even where other accounts' queues are long.
double work_ahead(const fair_queue& waiting, const admission_request& request) {
    double own = request.work;
    double weights = request.weight;
    for (const auto& [name, account] : waiting.accounts) {
        if (name == request.account) {
            own += account.work;
        } else if (!account.entries.empty()) {
            weights += account.weight;
        }
    }
    return std::min(waiting.work, own * weights / request.weight);
}

} // namespace

std::chrono::nanoseconds expected_wait(const admission_queue& queue, const admission_request& request) {
    const auto index = static_cast<std::size_t>(request.priority);
    double higher = 0;
    for (std::size_t i = 0; i < index; ++i) {
        higher += queue.waiting.at(i).work;
    }
    const double slots = expected_slots(queue.shares, queue.settings, queue.capacity, request.priority);
    const double ahead = work_ahead(queue.waiting.at(index), request);
    if (slots <= 0) {
        return to_duration(longest_s);
    }
    double wait = ahead / slots + higher / std::max(queue.capacity, slots);
    // A priority gets its floor however much more urgent work waits.
    const double floor_slots = queue.settings.floors.at(index) * queue.capacity;
    wait = floor_slots > 0 ? std::min(wait, ahead / floor_slots) : wait;
    return to_duration(wait * queue.slowdown * queue.settings.wait_margin);
}

core::steady_time latest_start(const admission_queue& queue, const admission_request& request,
                               core::steady_time now, double run_margin) {
    const auto index = static_cast<std::size_t>(request.priority);
    const core::steady_time longest_wait = now + queue.settings.max_wait.at(index);
    if (!request.deadline) {
        return longest_wait;
    }
    const auto run_time = to_duration(request.work * std::max(1.0, queue.slowdown) * run_margin);
    return std::min(longest_wait, *request.deadline - run_time);
}

} // namespace figspoke::policy
