#include "node/service_call.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "node/new_work.h"
#include "node/random.h"
#include "state/journal_key.h"

namespace figspoke::node {
namespace {

using adapters::call_progress;
using adapters::header_or_empty;
using core::error_kind;
using core::fail;
using nlohmann::json;
using clock = std::chrono::steady_clock;
using http_answer = adapters::http_result<adapters::http_reply>;

enum class call_end { answered, not_run, unknown };

constexpr std::array<const char*, 3> end_names = {"answered", "not_run", "unknown"};

call_end end_of(const http_answer& answer) {
    if (!answer) {
        return answer.error().progress == call_progress::not_sent ? call_end::not_run : call_end::unknown;
    }
    if (answer->status >= 400 && header_or_empty(answer->headers, "x-not-run") == "true") {
        return call_end::not_run;
    }
    // A server error without a word on whether the call ran may have come after the work was done.
    return answer->status >= 500 ? call_end::unknown : call_end::answered;
}

std::string describe(const http_answer& answer) {
    return answer ? "status " + std::to_string(answer->status) : answer.error().message;
}

core::result<policy::upstream_decision> choose(node_state& node, const service_session& session,
                                               const std::vector<std::string>& tried) {
    const auto now = clock::now();
    const policy::upstream_request request{"", node.settings.node.failure_domain, tried};
    return policy::choose_upstream(
        candidates_for_service(node.upstreams, *session.config, session.service, now), {}, request,
        {random_unit(), random_unit(), next_turn(node.upstreams)});
}

adapters::http_call make_call(const service_session& session, const std::string& address) {
    const auto left = core::to_ms(session.caller.expires_at - clock::now());
    adapters::http_call call;
    call.address = address;
    call.method = "POST";
    call.target = "/services/" + session.service.name;
    call.headers = {{"content-type", "application/json"}, {"x-request-id", session.caller.request_id}};
    if (!session.caller.idempotency_key.empty()) {
        call.headers["idempotency-key"] = session.caller.idempotency_key;
    }
    call.body = session.body;
    call.timeout = std::max(std::chrono::milliseconds(1), std::min(left, session.service.timeout));
    // An order goes out on a new connection, so that a failed send is certain not to have arrived.
    call.reuse_connection = session.service.idempotent;
    return call;
}

http_answer attempt(node_state& node, service_session& session, const std::string& upstream,
                    const boost::asio::yield_context& yield) {
    const auto& request_id = session.caller.request_id;
    record_start(node.upstreams, upstream, request_id, {}, clock::now());
    auto answer =
        node.client.fetch(make_call(session, session.config->upstreams.at(upstream).address), yield);
    const auto end = end_of(answer);
    const bool refused = end == call_end::not_run && answer.has_value();
    const auto result = end == call_end::answered ? upstream_result::succeeded
                        : refused                 ? upstream_result::not_counted
                                                  : upstream_result::failed;
    record_end(node.upstreams, upstream, request_id, result, clock::now());
    session.attempts.push_back({upstream, end_names.at(static_cast<std::size_t>(end))});
    return answer;
}

// A call that certainly did not run may go to another upstream whether it is idempotent or not.
bool may_try_again(node_state& node, const service_session& session, call_end end) {
    policy::failed_attempt question;
    question.failure = end == call_end::not_run ? error_kind::upstream_refused : error_kind::upstream_failed;
    question.idempotent = session.service.idempotent || end == call_end::not_run;
    question.attempts = static_cast<int>(session.attempts.size());
    question.time_left = core::to_ms(session.caller.expires_at - clock::now());
    const std::lock_guard lock(node.evidence.mutex);
    return policy::decide_retry(node.evidence.retries, node.evidence.retry_limits, question) ==
           policy::retry_decision::retry;
}

core::error error_of(const service_session& session, call_end end, const std::string& message) {
    if (end == call_end::not_run) {
        return {error_kind::upstream_refused, message, std::nullopt};
    }
    return {session.service.idempotent ? error_kind::upstream_failed : error_kind::outcome_unknown, message,
            std::nullopt};
}

core::result<core::service> find_service(const core::config_snapshot& config, const std::string& name) {
    const auto found = config.services.find(name);
    if (found == config.services.end()) {
        return fail(error_kind::not_found, "service \"" + name + "\" does not exist");
    }
    return found->second;
}

} // namespace

core::result<void> prepare_service_call(node_state& node, const adapters::http_request& request,
                                        const std::string& service, service_session& session) {
    auto accepted = accept_caller(node, request, session.started);
    if (!accepted) {
        return tl::make_unexpected(accepted.error());
    }
    session.config = std::move(accepted->config);
    session.caller = std::move(accepted->caller);
    auto found = find_service(*session.config, service);
    if (!found) {
        return tl::make_unexpected(found.error());
    }
    session.service = std::move(*found);
    session.body = request.body;
    session.body_sha256 = core::sha256_hex(request.body);
    const std::lock_guard lock(node.evidence.mutex);
    policy::record_request(node.evidence.retries, node.evidence.retry_limits);
    return {};
}

core::result<adapters::http_reply> call_service(node_state& node, service_session& session,
                                                const boost::asio::yield_context& yield) {
    std::vector<std::string> tried;
    std::optional<core::error> last;
    for (;;) {
        const auto choice = choose(node, session, tried);
        if (!choice) {
            return tl::make_unexpected(last.value_or(choice.error()));
        }
        tried.push_back(choice->name);
        auto answer = attempt(node, session, choice->name, yield);
        const auto end = end_of(answer);
        if (end == call_end::answered) {
            return std::move(*answer);
        }
        last = error_of(session, end, "upstream " + choice->name + ": " + describe(answer));
        if (!may_try_again(node, session, end)) {
            return tl::make_unexpected(*last);
        }
    }
}

void charge_service_call(node_state& node, service_session& session, charge_reservation reservation,
                         const boost::asio::yield_context& yield) {
    state::charge value;
    value.id = session.caller.request_id;
    value.account = session.caller.account.name;
    if (!session.caller.idempotency_key.empty()) {
        // A lookup's key may be used for other lookups too; the key of an order belongs to one order.
        const std::string scope =
            session.service.idempotent ? "lookup " + session.service.name + session.body_sha256 : "";
        value.key_id =
            state::idempotency_id(session.caller.account.name, scope + session.caller.idempotency_key);
    }
    value.version = session.service.name;
    value.micros = session.service.price;
    value.internal_micros = session.service.price;
    session.billed_micros = value.micros;
    book_charge(node, std::move(reservation), std::move(value), yield);
}

std::string render_service_line(const service_session& session, const std::string& event,
                                const std::string& outcome, core::steady_time now) {
    json attempts = json::array();
    for (const auto& attempt : session.attempts) {
        attempts.push_back({{"upstream", attempt.upstream}, {"outcome", attempt.outcome}});
    }
    const json line = {{"level", "info"},
                       {"event", event},
                       {"request_id", session.caller.request_id},
                       {"account", session.caller.account.name},
                       {"priority", core::to_string(session.caller.priority)},
                       {"service", session.service.name},
                       {"idempotency_key", session.caller.idempotency_key},
                       {"table_revision", session.config ? session.config->revision : 0},
                       {"attempts", attempts},
                       {"cost_micros", session.billed_micros},
                       {"outcome", outcome},
                       {"duration_ms", core::to_ms(now - session.started).count()}};
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace figspoke::node
