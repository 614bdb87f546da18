#include "policy/admission_wait.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// One day; longer durations could overflow the clock's integer.
constexpr double max_duration_s = 86400;

std::chrono::nanoseconds to_duration(double seconds) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(std::clamp(seconds, 0.0, max_duration_s)));
}

// Round robin serves accounts in proportion to their weights, so an account with a short queue has a short
// wait even if the queues of other accounts are long.
double work_ahead(const fair_queue& waiting, const admission_request& request) {
    double own_work = request.work;
    double weights = request.weight;
    for (const auto& [name, account] : waiting.accounts) {
        if (name == request.account) {
            own_work += account.queued_work;
        } else if (!account.entries.empty()) {
            weights += account.weight;
        }
    }
    return std::min(waiting.queued_work, own_work * weights / request.weight);
}

} // namespace

std::chrono::nanoseconds expected_wait(const admission_queue& queue, const admission_request& request) {
    const auto index = static_cast<std::size_t>(request.priority);
    double more_urgent_work = 0;
    for (std::size_t i = 0; i < index; ++i) {
        more_urgent_work += queue.waiting.at(i).queued_work;
    }
    const double slots = expected_slots(queue.shares, queue.settings, queue.capacity, request.priority);
    const double queued_ahead = work_ahead(queue.waiting.at(index), request);
    if (slots <= 0) {
        return to_duration(max_duration_s);
    }
    double wait = queued_ahead / slots + more_urgent_work / std::max(queue.capacity, slots);
    // A priority receives its floor regardless of how much more urgent work is waiting.
    const double floor_slots = queue.settings.floors.at(index) * queue.capacity;
    wait = floor_slots > 0 ? std::min(wait, queued_ahead / floor_slots) : wait;
    return to_duration(wait * queue.slowdown * queue.settings.wait_margin);
}

core::steady_time latest_start(const admission_queue& queue, const admission_request& request,
                               core::steady_time now, double run_margin) {
    const auto index = static_cast<std::size_t>(request.priority);
    const core::steady_time wait_limit = now + queue.settings.max_wait.at(index);
    if (!request.deadline) {
        return wait_limit;
    }
    const auto run_time = to_duration(request.work * std::max(1.0, queue.slowdown) * run_margin);
    return std::min(wait_limit, *request.deadline - run_time);
}

} // namespace figspoke::policy
