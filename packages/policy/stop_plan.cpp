#include "policy/stop_plan.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

core::milliseconds fraction_of(core::milliseconds grace, double fraction) {
    return core::milliseconds(std::int64_t(fraction * double(grace.count())));
}

} // namespace

stop_plan plan_stop(core::steady_time signalled, core::milliseconds grace, const stop_settings& settings) {
    stop_plan plan;
    plan.accept_until =
        signalled + std::min(fraction_of(grace, settings.accept_fraction), settings.max_accept_time);
    plan.end = std::max(signalled + grace - settings.end_margin, plan.accept_until);
    plan.answer_until = std::max(plan.end - settings.answer_time, plan.accept_until);
    const auto first_request_time =
        std::min(fraction_of(grace, settings.first_request_fraction), settings.max_first_request_time);
    const auto last_acceptance = signalled + settings.max_accept_time;
    plan.accept_first_until =
        std::min({plan.accept_until + first_request_time, last_acceptance, plan.answer_until});
    return plan;
}

// Late in the stop only a request whose deadline passes before the end is certain not to be cut off. The
// first request of a connection was sent before the listening socket closed, or right after.
bool accepts_request(const stop_plan& plan, const late_request& request) {
    const auto accept_until = request.first_on_connection ? plan.accept_first_until : plan.accept_until;
    return request.read_at < accept_until || request.deadline <= plan.answer_until;
}

} // namespace figspoke::policy
