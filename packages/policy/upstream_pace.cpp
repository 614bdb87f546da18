#include "policy/upstream_pace.h"

#include <algorithm>
#include <cmath>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {
namespace {

constexpr double usual_time_weight = 0.05;

int first_limit(const pace_settings& settings, int slots) {
    return std::max(int(settings.first_share * slots), 1);
}

// A refusal or a failure ends the step: the answers before it were those of a lower load.
void hold_back(upstream_pace& pace, const pace_settings& settings, core::steady_time now) {
    pace.limit = std::max(pace.limit / 2, first_limit(settings, pace.slots));
    ++pace.setbacks;
    pace.fast = 0;
    pace.slow = 0;
    pace.held_at = now;
}

} // namespace

void begin_pace(pace_table& table, const pace_settings& settings, const std::string& upstream, int slots,
                core::steady_time now) {
    if (table.upstreams.size() >= settings.max_upstreams) {
        return;
    }
    upstream_pace pace;
    pace.slots = std::max(slots, 1);
    pace.limit = first_limit(settings, pace.slots);
    pace.held_at = now;
    table.upstreams[upstream] = pace;
}

bool record_pace_answer(pace_table& table, const pace_settings& settings, const std::string& upstream,
                        pace_answer answer, std::size_t reporters, core::steady_time now) {
    const auto found = table.upstreams.find(upstream);
    if (found == table.upstreams.end()) {
        return false;
    }
    auto& pace = found->second;
    if (answer == pace_answer::refused || answer == pace_answer::failed) {
        hold_back(pace, settings, now);
        return true;
    }
    ++(answer == pace_answer::fast ? pace.fast : pace.slow);
    const int nodes = int(std::max<std::size_t>(reporters, 1));
    // Rounded down, so that a node reaches it with its part of the requests while these still run: streams
    // last much longer than the wait for their first byte.
    const int round = std::max(pace.limit / nodes, 1);
    if (pace.fast + pace.slow < round) {
        return false;
    }
    const bool too_slow = pace.slow >= settings.slow_share * (pace.fast + pace.slow);
    const int previous = pace.limit;
    pace.limit = too_slow ? std::max(pace.limit / 2, first_limit(settings, pace.slots)) : pace.limit * 2;
    pace.fast = 0;
    pace.slow = 0;
    if (pace.limit >= pace.slots) {
        table.upstreams.erase(found);
        return true;
    }
    return pace.limit != previous;
}

bool merge_pace(pace_table& table, const std::string& upstream, int limit, int setbacks,
                core::steady_time now) {
    const auto found = table.upstreams.find(upstream);
    if (found == table.upstreams.end()) {
        return false;
    }
    auto& pace = found->second;
    const bool later = setbacks > pace.setbacks || (setbacks == pace.setbacks && limit > pace.limit);
    if (!later) {
        return false;
    }
    if (setbacks > pace.setbacks) {
        pace.held_at = now;
    }
    pace.limit = std::max(limit, 1);
    pace.setbacks = setbacks;
    pace.fast = 0;
    pace.slow = 0;
    if (pace.limit >= pace.slots) {
        table.upstreams.erase(found);
    }
    return true;
}

void expire_paces(pace_table& table, const pace_settings& settings, core::steady_time now) {
    core::erase_where(table.upstreams, [&](const upstream_pace& pace, const std::string&) {
        return now - pace.held_at > settings.max_duration;
    });
}

double pace_share(const pace_table& table, const std::string& upstream) {
    const auto found = table.upstreams.find(upstream);
    return found == table.upstreams.end() ? 1.0 : double(found->second.limit) / found->second.slots;
}

int pace_part(int limit, const std::string& upstream, const std::string& self,
              const std::vector<std::string>& nodes) {
    const int count = int(nodes.size());
    if (count <= 1) {
        return limit;
    }
    const auto ordered = core::rendezvous_order(upstream, nodes);
    const auto place = std::find(ordered.begin(), ordered.end(), self) - ordered.begin();
    return limit / count + (place < limit % count ? 1 : 0);
}

void learn_usual_time(usual_times& times, const std::string& route, core::milliseconds took) {
    if (times.ms.count(route) == 0 && times.ms.size() >= max_usual_times) {
        return;
    }
    auto& usual = times.ms.emplace(route, double(took.count())).first->second;
    usual += usual_time_weight * (double(took.count()) - usual);
}

bool is_fast_answer(const usual_times& times, const pace_settings& settings, const std::string& route,
                    core::milliseconds took, core::milliseconds latency_target) {
    const auto usual = times.ms.find(route);
    if (usual == times.ms.end()) {
        return took <= latency_target / 2;
    }
    return double(took.count()) <= settings.slow_factor * usual->second;
}

} // namespace figspoke::policy
