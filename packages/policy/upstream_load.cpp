#include "policy/upstream_load.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

// Reports older than this are not corrected exactly; it bounds the history that is kept.
constexpr std::chrono::seconds history{30};
constexpr std::size_t max_changes = 4096;

int in_flight_at(const own_work& work, core::steady_time at) {
    const auto later =
        std::upper_bound(work.changes.begin(), work.changes.end(), at,
                         [](core::steady_time t, const auto& change) { return t < change.first; });
    return later == work.changes.begin() ? 0 : std::prev(later)->second;
}

} // namespace

void record_own_work(own_work& work, int delta, core::steady_time now) {
    work.in_flight = std::max(0, work.in_flight + delta);
    work.changes.emplace_back(now, work.in_flight);
    // The newest change before the horizon stays: it holds the value at the horizon.
    while (work.changes.size() > max_changes ||
           (work.changes.size() > 1 && work.changes[1].first <= now - history)) {
        work.changes.pop_front();
    }
}

int estimate_load(const load_report& report, const own_work& work) {
    const int since = work.in_flight - in_flight_at(work, report.at);
    return std::max(work.in_flight, report.running + report.waiting + since);
}

} // namespace figspoke::policy
