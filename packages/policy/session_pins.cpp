#include "policy/session_pins.h"

#include <algorithm>
#include <string>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {

void record_session(session_pins& pins, std::uint64_t session, bool on_target, core::steady_time at) {
    auto& pin = pins.pins[session];
    if (pin.last_seen <= at) {
        pin = {on_target, at};
    }
    if (pins.pins.size() > max_session_pins) {
        pins.pins.erase(
            std::min_element(pins.pins.begin(), pins.pins.end(), [](const auto& a, const auto& b) {
                return a.second.last_seen < b.second.last_seen;
            }));
    }
}

// An answer may last for longer than the pause that ends a conversation, which begins only at its end.
void begin_session_request(session_pins& pins, std::uint64_t request, const running_session& session,
                           core::steady_time at) {
    pins.running[request] = session;
    record_session(pins, session.session, session.on_target, at);
}

void end_session_request(session_pins& pins, std::uint64_t request, core::steady_time at) {
    const auto found = pins.running.find(request);
    if (found != pins.running.end()) {
        record_session(pins, found->second.session, found->second.on_target, at);
        pins.running.erase(found);
    }
}

void refresh_running_sessions(session_pins& pins, core::steady_time now) {
    for (const auto& [request, running] : pins.running) {
        record_session(pins, running.session, running.on_target, now);
    }
}

void expire_sessions(session_pins& pins, core::milliseconds session_gap, core::steady_time now) {
    core::erase_where(
        pins.pins, [&](const session_pin& pin, std::uint64_t) { return now - pin.last_seen > session_gap; });
}

double session_bucket(std::uint64_t session) {
    constexpr std::uint64_t steps = 1U << 20U;
    return double(core::stable_hash("place/" + std::to_string(session)) % steps) / double(steps);
}

bool uses_target_version(const session_pins& pins, std::uint64_t session, const rollout_selection& selection,
                         core::steady_time now) {
    if (selection.bucket >= selection.share) {
        return false;
    }
    const auto found = pins.pins.find(session);
    const bool pinned_to_old = found != pins.pins.end() && !found->second.on_target &&
                               now - found->second.last_seen <= selection.session_gap;
    return !(selection.trial && pinned_to_old);
}

} // namespace figspoke::policy
