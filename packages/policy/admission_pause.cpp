#include "policy/admission_pause.h"

#include <algorithm>

#include "policy/admission_wait.h"

namespace figspoke::policy {
namespace {

// A request that has just started, or whose deadline is near, is left alone: pausing it costs more than it
// gains.
constexpr std::chrono::milliseconds least_run(250);
constexpr std::chrono::seconds least_slack(5);

bool is_above_floor(const admission_queue& queue, core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    const auto running = static_cast<double>(queue.shares.priorities.at(index).running);
    return running - 1 >= queue.settings.floors.at(index) * queue.capacity;
}

// Work gives way to more urgent work while it has more than its floor, and heavy accounts to light ones.
bool gives_way(const admission_queue& queue, const admission_request& running, core::priority priority,
               core::steady_time now) {
    if (running.priority > priority) {
        return is_above_floor(queue, running.priority);
    }
    const auto& activities = queue.activities.at(static_cast<std::size_t>(priority));
    return running.priority == priority && is_heavy(activities, running.account, queue.capacity, now);
}

bool can_wait(const admission_queue& queue, const running_request& running, core::steady_time now) {
    return running.request.pausable && running.pauses < queue.settings.max_pauses &&
           now - running.started >= least_run &&
           paused_entry(queue, running, now).latest_start - now >= least_slack;
}

bool is_better_choice(const running_request& a, const running_request& b) {
    return a.request.priority != b.request.priority ? a.request.priority > b.request.priority
                                                    : a.started > b.started;
}

} // namespace

std::optional<std::uint64_t> find_pausable(const admission_queue& queue, core::priority priority,
                                           core::steady_time now) {
    const running_request* best = nullptr;
    for (const auto& [id, running] : queue.running) {
        if ((best == nullptr || is_better_choice(running, *best)) &&
            gives_way(queue, running.request, priority, now) && can_wait(queue, running, now)) {
            best = &running;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->request.id);
}

waiting_request paused_entry(const admission_queue& queue, const running_request& running,
                             core::steady_time now) {
    waiting_request entry{running.request, now, {}, running.pauses + 1};
    const double done = core::to_seconds(now - running.started);
    // A request that has run longer than expected has an unknown rest; a fifth of the estimate stands for it.
    entry.request.work =
        std::max(running.request.work - done, running.request.work / 5) + queue.settings.resume_work;
    entry.latest_start = latest_start(queue, entry.request, now, queue.settings.run_margin);
    return entry;
}

} // namespace figspoke::policy
