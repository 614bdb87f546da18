#include "policy/send_move.h"

#include <array>

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 8> verdict_names = {
    "move",     "recovered",     "not_repeatable", "not_admitted", "crashes_upstreams",
    "too_late", "out_of_budget", "no_upstream"};

} // namespace

bool is_stalled(const silent_send& send) {
    if (send.unread_bytes) {
        return false;
    }
    return send.silence > send.pauses.longest ||
           (send.silence > send.pauses.silent_upstream && send.upstream_unreachable);
}

move_verdict judge_move(const move_conditions& conditions) {
    if (!conditions.stalled) {
        return move_verdict::recovered;
    }
    if (!conditions.repeatable) {
        return move_verdict::not_repeatable;
    }
    if (!conditions.admitted) {
        return move_verdict::not_admitted;
    }
    if (conditions.crashes_upstreams) {
        return move_verdict::crashes_upstreams;
    }
    if (conditions.expected >= conditions.time_left) {
        return move_verdict::too_late;
    }
    if (!conditions.within_budget) {
        return move_verdict::out_of_budget;
    }
    return conditions.has_upstream ? move_verdict::move : move_verdict::no_upstream;
}

std::string_view to_string(move_verdict value) {
    return verdict_names.at(static_cast<std::size_t>(value));
}

} // namespace figspoke::policy
