#include "policy/relay_outcome.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

bool did_not_run(const send_record& send) {
    return send.result == send_result::not_sent || send.result == send_result::refused;
}

} // namespace

int attempts_used(const send_history& history) {
    return static_cast<int>(
        std::count_if(history.sends.begin(), history.sends.end(),
                      [](const send_record& send) { return send.result != send_result::not_sent; }));
}

bool never_ran(const send_history& history) {
    return std::all_of(history.sends.begin(), history.sends.end(), did_not_run);
}

bool may_send_again(const send_history& history) {
    if (attempts_used(history) >= history.max_attempts) {
        return false;
    }
    if (history.retry == state::retry_policy::at_most_once) {
        return never_ran(history);
    }
    // Once the caller has a part of the answer, only a stream with event ids can be continued elsewhere.
    return !history.answer_begun || history.retry == state::retry_policy::resumable;
}

core::error_kind final_error(const send_history& history, end_cause cause) {
    if (!never_ran(history)) {
        return cause == end_cause::deadline ? core::error_kind::deadline_exceeded
                                            : core::error_kind::upstream_failed;
    }
    switch (cause) {
    case end_cause::deadline:
    case end_cause::refused_at_once:
        return core::error_kind::deadline_unreachable;
    case end_cause::no_upstream:
        return core::error_kind::no_capacity;
    case end_cause::node_stops:
        return core::error_kind::draining;
    case end_cause::out_of_budget:
    case end_cause::no_more_attempts:
        break;
    }
    return core::error_kind::overloaded;
}

std::string_view to_string(send_result value) {
    switch (value) {
    case send_result::not_sent:
        return "not_sent";
    case send_result::refused:
        return "refused";
    case send_result::unknown:
        return "unknown";
    case send_result::succeeded:
        return "succeeded";
    case send_result::failed:
        break;
    }
    return "failed";
}

std::string_view to_string(end_cause value) {
    switch (value) {
    case end_cause::no_upstream:
        return "no_upstream";
    case end_cause::deadline:
        return "deadline";
    case end_cause::out_of_budget:
        return "out_of_budget";
    case end_cause::no_more_attempts:
        return "no_more_attempts";
    case end_cause::refused_at_once:
        return "refused_at_once";
    case end_cause::node_stops:
        break;
    }
    return "node_stops";
}

} // namespace figspoke::policy
