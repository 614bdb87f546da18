#include "policy/session_pins.h"

#include <algorithm>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {

session_key make_session_key(const std::string& service, const std::string& session,
                             const std::string& version) {
    return core::stable_hash(service + '/' + session + '\n' + version);
}

void record_session(session_pins& pins, session_key session, core::steady_time at) {
    auto& last_seen = pins.last_seen[session];
    last_seen = std::max(last_seen, at);
    if (pins.last_seen.size() > max_session_pins) {
        pins.last_seen.erase(
            std::min_element(pins.last_seen.begin(), pins.last_seen.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
}

// An answer may last for longer than the pause that ends a conversation, which begins only at its end.
void begin_session_request(session_pins& pins, std::uint64_t request, session_key session,
                           core::steady_time at) {
    pins.running[request] = session;
    record_session(pins, session, at);
}

void end_session_request(session_pins& pins, std::uint64_t request, core::steady_time at) {
    const auto found = pins.running.find(request);
    if (found != pins.running.end()) {
        record_session(pins, found->second, at);
        pins.running.erase(found);
    }
}

void refresh_running_sessions(session_pins& pins, core::steady_time now) {
    for (const auto& [request, session] : pins.running) {
        record_session(pins, session, now);
    }
}

// Messages between nodes hold a limited number of conversations. Those seen last are the ones whose next
// request may come before a later message.
std::vector<recent_session> recent_sessions(const session_pins& pins, core::nanoseconds max_age,
                                            std::size_t limit, core::steady_time now) {
    std::vector<recent_session> recent;
    for (const auto& [session, last_seen] : pins.last_seen) {
        if (now - last_seen < max_age) {
            recent.push_back({session, last_seen});
        }
    }
    if (recent.size() > limit) {
        const auto end = recent.begin() + std::ptrdiff_t(limit);
        std::nth_element(
            recent.begin(), end, recent.end(),
            [](const recent_session& a, const recent_session& b) { return a.last_seen > b.last_seen; });
        recent.erase(end, recent.end());
    }
    return recent;
}

std::optional<session_pin> find_session(const session_pins& pins, const std::string& service,
                                        const std::string& session, const std::set<std::string>& versions,
                                        const std::string& target) {
    std::optional<session_pin> latest;
    for (const auto& version : versions) {
        const auto found = pins.last_seen.find(make_session_key(service, session, version));
        if (found != pins.last_seen.end() && (!latest || latest->last_seen < found->second)) {
            latest = {version == target, found->second};
        }
    }
    return latest;
}

void expire_sessions(session_pins& pins, core::milliseconds session_gap, core::steady_time now) {
    core::erase_where(pins.last_seen, [&](core::steady_time last_seen, session_key) {
        return now - last_seen > session_gap;
    });
}

double session_bucket(std::uint64_t session) {
    constexpr std::uint64_t steps = 1U << 20U;
    return double(core::stable_hash("place/" + std::to_string(session)) % steps) / double(steps);
}

bool uses_target_version(const std::optional<session_pin>& pin, const rollout_selection& selection,
                         core::steady_time now) {
    if (selection.bucket >= selection.share) {
        return false;
    }
    const bool pinned_to_old = pin && !pin->on_target && now - pin->last_seen <= selection.session_gap;
    return !(selection.trial && pinned_to_old);
}

} // namespace figspoke::policy
