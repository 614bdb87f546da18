#include "policy/admission_pause.h"

#include <algorithm>

#include "policy/admission_wait.h"

namespace figspoke::policy {
namespace {

// A request that has just started or whose deadline is near isn't paused, since that costs more than it
// gains.
constexpr std::chrono::milliseconds min_run_time(250);
constexpr std::chrono::seconds min_slack(5);

// Returns whether the priority keeps its floor with one running request less.
bool can_lose_slot(const admission_queue& queue, core::priority priority) {
    const auto index = static_cast<std::size_t>(priority);
    const auto running = static_cast<double>(queue.shares.priorities.at(index).running);
    return running - 1 >= queue.settings.floors.at(index) * queue.capacity;
}

// A running request yields to a more urgent one if its own priority keeps its floor, and to one of the same
// priority if its account exceeds its fair share.
bool yields_to(const admission_queue& queue, const admission_request& running, core::priority priority,
               core::steady_time now) {
    if (running.priority > priority) {
        return can_lose_slot(queue, running.priority);
    }
    const auto& activities = queue.activities.at(static_cast<std::size_t>(priority));
    return running.priority == priority &&
           exceeds_fair_share(activities, running.account, queue.capacity, now);
}

bool can_pause(const admission_queue& queue, const running_request& running, core::steady_time now) {
    return running.request.pausable && running.pauses < queue.settings.max_pauses &&
           now - running.started_at >= min_run_time &&
           make_paused_entry(queue, running, now).latest_start - now >= min_slack;
}

// Prefers the least urgent request, and the one that started last among equals.
bool is_better_victim(const running_request& a, const running_request& b) {
    return a.request.priority != b.request.priority ? a.request.priority > b.request.priority
                                                    : a.started_at > b.started_at;
}

} // namespace

std::optional<std::uint64_t> find_request_to_pause(const admission_queue& queue, core::priority priority,
                                                   core::steady_time now) {
    const running_request* best = nullptr;
    for (const auto& [id, running] : queue.running) {
        if ((best == nullptr || is_better_victim(running, *best)) &&
            yields_to(queue, running.request, priority, now) && can_pause(queue, running, now)) {
            best = &running;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(best->request.id);
}

waiting_request make_paused_entry(const admission_queue& queue, const running_request& running,
                                  core::steady_time now) {
    waiting_request entry{running.request, now, {}, running.pauses + 1};
    const double done_s = core::to_seconds(now - running.started_at);
    // The remaining work of a request that has run longer than expected is unknown. At least a fifth of the
    // estimate is assumed.
    entry.request.work =
        std::max(running.request.work - done_s, running.request.work / 5) + queue.settings.resume_work;
    entry.latest_start = latest_start(queue, entry.request, now, queue.settings.run_margin);
    return entry;
}

} // namespace figspoke::policy
