#include "relay/forward_run.h"

#include <algorithm>
#include <cstdio>

#include "core/error_json.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Time until a request that crashes upstreams may come again.
constexpr core::milliseconds refusal_pause{5000};

} // namespace

void forward_run::on_caller_disconnect() {
    interrupt();
}

void forward_run::on_node_end() {
    if (!answer_started_ && status_ == 0) {
        ended_by_stop_ = true;
        interrupt();
    }
}

void forward_run::interrupt() {
    if (current_link_) {
        current_link_->close();
    }
    if (const auto found = node_.waiting.find(id_); found != node_.waiting.end()) {
        found->second->signal();
    }
}

void forward_run::send_answer(const caller_answer& answer) {
    status_ = answer.status;
    end_ = exchange_.send(answer) ? "served" : "caller left";
}

void forward_run::finish_without_upstream() {
    const bool full = choice_.reason == policy::relay_reason::full;
    const bool late = boot_now() >= deadline_;
    if (restriction_) {
        const std::string reason(policy::to_string(restriction_->reason));
        last_failure_ = "no upstream may take the request: " + reason;
        node_.metrics.add("relay_restricted_requests_total", {{"service", service_}, {"reason", reason}});
    }
    if (ended_by_stop_) {
        finish_failed(policy::end_cause::node_stops);
        return;
    }
    finish_failed(
        late ? policy::end_cause::deadline
             : (full || restriction_ ? policy::end_cause::refused_at_once : policy::end_cause::no_upstream));
}

void forward_run::finish_failed(policy::end_cause cause) {
    if (answer_started_) {
        // The answer ends without its last chunk, so that the caller can tell that it is incomplete.
        end_ = "stream broken off: " + std::string(policy::to_string(cause));
        return;
    }
    if (fallback_answer_) {
        send_answer(*fallback_answer_);
        return;
    }
    core::error error{policy::final_error(history_, cause), last_failure_, std::nullopt};
    if (error.message.empty()) {
        error.message = policy::to_string(cause);
    }
    // Other nodes serve a request that is refused because this one stops, so its caller needn't wait.
    if (policy::never_ran(history_) && cause != policy::end_cause::node_stops) {
        error.retry_after = retry_delay();
    }
    finish_with_error(error, std::string(policy::to_string(cause)));
}

// Another try could not be served either, so that the caller is told to wait for long.
void forward_run::finish_refused_for_crashes() {
    const std::string message = "the request or a part of its prompt crashed several upstreams";
    const bool promise = policy::never_ran(history_);
    finish_with_error({promise ? core::error_kind::overloaded : core::error_kind::upstream_failed, message,
                       promise ? std::make_optional(refusal_pause) : std::nullopt},
                      "refused for crashes");
}

// Spreads callers' retries over a part of the time until the deadline.
core::milliseconds forward_run::retry_delay() {
    const double left = double(std::max<std::int64_t>(core::to_ms(deadline_ - boot_now()).count(), 0));
    const auto spread =
        core::milliseconds(std::int64_t(std::min(left * (0.08 + 0.17 * draw(node_)), 1500.0)));
    const auto now = boot_now();
    if (!restriction_ || restriction_->until == core::steady_time::max() || restriction_->until <= now) {
        return spread;
    }
    return core::to_ms(restriction_->until - now) + spread / 2;
}

void forward_run::finish_with_error(const core::error& error, const std::string& end) {
    end_ = end + ": " + error.message;
    if (answer_started_) {
        return;
    }
    const auto& answer = core::error_answer_for(error.kind);
    status_ = answer.http_status;
    caller_answer reply{
        answer.http_status, {{"Content-Type", "application/json"}}, core::render_error(error)};
    if (const auto retry = core::retry_time(error); retry && answer.execution == core::execution::not_run) {
        char seconds[32];
        std::snprintf(seconds, sizeof(seconds), "%.3f", core::to_seconds(*retry));
        reply.headers.emplace_back("Retry-After", seconds);
    }
    exchange_.send(reply);
}

} // namespace figspoke::relay
