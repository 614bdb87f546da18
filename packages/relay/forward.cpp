#include "relay/forward_run.h"

#include <algorithm>

#include "relay/boot_clock.h"
#include "relay/forward.h"

namespace figspoke::relay {
namespace {

// Maximum number of attempts that reached no upstream; more of them mean a network fault.
constexpr int max_unsent_attempts = 5;

} // namespace

forward_run::forward_run(relay_state& node, caller_exchange& exchange)
    : node_(node), exchange_(exchange), arrived_(boot_now()), id_(node.next_request++),
      search_ended_(node.context.get_executor()) {}

forward_run::~forward_run() {
    node_.stop_handlers.erase(id_);
    node_.waiting_sends.erase(id_);
    policy::end_session_request(node_.sessions, id_, boot_now());
}

void forward_run::run() {
    request_ = node_.protocol.read_request(exchange_.head());
    exchange_.on_disconnect([this] { on_caller_disconnect(); });
    node_.stop_handlers[id_] = [this] { on_node_end(); };
    if (const auto refusal = admit()) {
        finish_with_error(*refusal, "admission");
    } else {
        attempt_until_done();
    }
    write_log();
}

void forward_run::attempt_until_done() {
    while (!exchange_.disconnected()) {
        if (is_refused_for_crashes()) {
            finish_refused_for_crashes();
            return;
        }
        const auto choice = next_upstream();
        if (exchange_.disconnected()) {
            break;
        }
        if (!choice || ended_by_stop_) {
            finish_without_upstream();
            return;
        }
        if (is_refused_for_crashes()) {
            finish_refused_for_crashes();
            return;
        }
        if (send_to(*choice) == next_step::finished) {
            return;
        }
        if (exchange_.disconnected()) {
            break;
        }
        if (!replacement_ || ended_by_stop_) {
            if (const auto cause = reason_to_stop()) {
                finish_failed(*cause);
                return;
            }
        }
        if (const auto refusal = resolve_route()) {
            finish_with_error(policy::never_ran(history_) ? *refusal
                                                          : core::error{core::error_kind::upstream_failed,
                                                                        refusal->message, std::nullopt},
                              "configuration changed");
            return;
        }
    }
    end_ = "caller left";
}

std::optional<state::upstream_entry> forward_run::next_upstream() {
    if (!replacement_) {
        return wait_for_upstream();
    }
    choice_ = replacement_->choice;
    return replacement_->entry;
}

std::optional<policy::end_cause> forward_run::reason_to_stop() {
    if (ended_by_stop_) {
        return policy::end_cause::node_stops;
    }
    if (boot_now() >= deadline_) {
        return policy::end_cause::deadline;
    }
    if (!policy::may_send_again(history_) || unsent_attempts_ >= max_unsent_attempts) {
        return policy::end_cause::no_more_attempts;
    }
    const bool last_unsent =
        !history_.sends.empty() && history_.sends.back().result == policy::send_result::not_sent;
    if (last_unsent) {
        return std::nullopt;
    }
    if (!policy::take_repeat(node_.budgets[service_], budget_settings(), node_.peers->size(), boot_now())) {
        return policy::end_cause::out_of_budget;
    }
    return std::nullopt;
}

// A timer that fires early would leave time for another send.
core::milliseconds forward_run::time_left() const {
    return std::max(std::chrono::ceil<core::milliseconds>(deadline_ - boot_now()), core::milliseconds(1));
}

void forward_request(relay_state& node, caller_exchange& exchange) {
    forward_run run(node, exchange);
    run.run();
}

} // namespace figspoke::relay
