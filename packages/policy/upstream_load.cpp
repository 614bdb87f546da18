#include "policy/upstream_load.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Bounds the history of changes. Reports older than this are not corrected exactly.
constexpr std::chrono::seconds max_history{30};
constexpr std::size_t max_changes = 4096;

int in_flight_at(const local_requests& local, core::steady_time at) {
    const auto next_change =
        std::upper_bound(local.changes.begin(), local.changes.end(), at,
                         [](core::steady_time t, const auto& change) { return t < change.first; });
    return next_change == local.changes.begin() ? 0 : std::prev(next_change)->second;
}

} // namespace

void record_local_requests(local_requests& local, int delta, core::steady_time now) {
    local.in_flight = std::max(0, local.in_flight + delta);
    local.changes.emplace_back(now, local.in_flight);
    // The newest change before the start of the history is kept, since it holds the value at that time.
    while (local.changes.size() > max_changes ||
           (local.changes.size() > 1 && local.changes[1].first <= now - max_history)) {
        local.changes.pop_front();
    }
}

int estimate_load(const load_report& report, const local_requests& local) {
    const int change_since = local.in_flight - in_flight_at(local, report.at);
    return std::max(local.in_flight, report.running + report.waiting + change_since);
}

} // namespace figspoke::policy
