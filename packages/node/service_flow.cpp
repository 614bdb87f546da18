#include "node/service_flow.h"

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "node/error_reply.h"
#include "node/journal_routing.h"
#include "node/new_work.h"
#include "node/service_call.h"
#include "state/journal_key.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using core::error_kind;
using core::fail;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds claim_timeout{3000};
constexpr std::chrono::milliseconds result_timeout{3000};
constexpr std::chrono::minutes late_result_timeout{10};
constexpr std::chrono::milliseconds late_result_pause{100};
// After a longer time since the claim the process was probably paused, and peers may have reported the
// outcome as unknown already.
constexpr std::chrono::milliseconds claim_validity{2000};

std::uint32_t shard_of(const node_state& node, const std::string& order_id) {
    return state::shard_of(order_id, static_cast<std::uint32_t>(node.settings.journal.shards));
}

std::string order_id_of(const service_session& session) {
    return state::idempotency_id(session.caller.account.name, session.caller.idempotency_key);
}

state::order_claim make_claim(const node_state& node, const service_session& session) {
    return {order_id_of(session), session.caller.account.name, session.body_sha256, session.caller.request_id,
            node.incarnation};
}

state::order_result make_result(const node_state& node, const service_session& session,
                                state::order_state state, const adapters::http_reply& answer) {
    state::order_result result;
    result.order_id = order_id_of(session);
    result.account = session.caller.account.name;
    result.body_sha256 = session.body_sha256;
    result.request_id = session.caller.request_id;
    result.claimant = node.incarnation;
    result.state = state;
    result.status = answer.status;
    result.body = answer.body;
    return result;
}

// Tells whether the shard has the result. One without room has not recorded it.
bool append_result(node_state& node, const state::order_result& result, std::chrono::milliseconds timeout,
                   const yield_context& yield) {
    const auto outcome = await_append(node, shard_of(node, result.order_id), result, timeout, yield);
    return outcome.disposition == state::entry_disposition::settled &&
           outcome.result.outcome != state::entry_outcome::backlog_full;
}

// Records how an order ended. Where the key-value service is slow, recording goes on in the background: until
// then a repeat is told that the order is in progress, which is safe.
void record_result(node_state& node, const state::order_result& result, const yield_context& yield) {
    if (append_result(node, result, result_timeout, yield)) {
        return;
    }
    adapters::spawn_coroutine(node.context, [&node, result](const yield_context& later) {
        const auto limit = clock::now() + late_result_timeout;
        while (!append_result(node, result, result_timeout, later) && clock::now() < limit) {
            adapters::sleep_for(late_result_pause, later);
        }
    });
}

adapters::http_reply stored_reply(const state::apply_result& stored) {
    adapters::http_reply reply = json_reply(stored.body);
    reply.status = stored.status;
    reply.headers["x-figspoke-repeated"] = "true";
    if (stored.body_dropped) {
        reply.body = R"({"repeated":true,"body_dropped":true})";
    }
    return reply;
}

// The error for a claim that this request may not act on; nothing for one that it may.
std::optional<core::error> claim_error(state::entry_outcome outcome) {
    switch (outcome) {
    case state::entry_outcome::applied:
    case state::entry_outcome::duplicate:
        return std::nullopt;
    case state::entry_outcome::key_reused:
        return core::error{error_kind::key_reused,
                           "this idempotency key belongs to a request with another body", std::nullopt};
    case state::entry_outcome::in_progress:
        return core::error{error_kind::in_progress, "a request with this idempotency key is running",
                           std::nullopt};
    case state::entry_outcome::refused:
        return core::error{error_kind::store_unavailable, "the claim of this order was withdrawn",
                           std::nullopt};
    case state::entry_outcome::backlog_full:
    case state::entry_outcome::sequence_gap:
        return core::error{error_kind::overloaded, "the journal has no room for another order", std::nullopt};
    case state::entry_outcome::outcome_unknown:
    case state::entry_outcome::completed:
        break;
    }
    return core::error{error_kind::outcome_unknown,
                       "the order may or may not have run; it will not run again", std::nullopt};
}

// Makes the claim durable. Returns a stored answer where the order was done before, and nothing where this
// request is to run it now.
core::result<std::optional<adapters::http_reply>>
claim_order(node_state& node, const service_session& session, const yield_context& yield) {
    const auto claim = make_claim(node, session);
    const auto outcome = await_append(node, shard_of(node, claim.order_id), claim, claim_timeout, yield);
    if (outcome.disposition != state::entry_disposition::settled) {
        // The claim may become durable after all; it is then withdrawn, since the order will not run.
        record_result(node, make_result(node, session, state::order_state::refused, {}), yield);
        return fail(error_kind::store_unavailable, "the order could not be recorded, so it was not run");
    }
    if (outcome.result.outcome == state::entry_outcome::completed) {
        return std::optional(stored_reply(outcome.result));
    }
    if (auto refused = claim_error(outcome.result.outcome)) {
        return tl::make_unexpected(*refused);
    }
    return std::optional<adapters::http_reply>();
}

core::result<adapters::http_reply> run_order(node_state& node, service_session& session,
                                             charge_reservation room, core::steady_time claimed_at,
                                             const yield_context& yield) {
    if (clock::now() - claimed_at > claim_validity) {
        record_result(node, make_result(node, session, state::order_state::refused, {}), yield);
        return fail(error_kind::store_unavailable, "the node was paused after the claim, so nothing was run");
    }
    auto answer = call_service(node, session, yield);
    if (!answer) {
        const bool not_run =
            core::error_answer_for(answer.error().kind).execution == core::execution::not_run;
        const auto state = not_run ? state::order_state::refused : state::order_state::unknown;
        record_result(node, make_result(node, session, state, {}), yield);
        return answer;
    }
    // A peer has the charge before the order counts as done: a node that ends between the two leaves an
    // order whose outcome is unknown, and never one that is done but not billed.
    if (answer->status < 400) {
        charge_service_call(node, session, std::move(room), yield);
    }
    record_result(node, make_result(node, session, state::order_state::completed, *answer), yield);
    return answer;
}

core::result<void> check_order(const service_session& session) {
    if (session.service.idempotent) {
        return fail(error_kind::bad_request,
                    "service \"" + session.service.name + "\" is idempotent; call it under /v1/services/");
    }
    if (session.caller.idempotency_key.empty()) {
        return fail(error_kind::bad_request, "an order needs the header Idempotency-Key");
    }
    return {};
}

core::result<adapters::http_reply> place_order(node_state& node, const adapters::http_request& request,
                                               const std::string& service, service_session& session,
                                               const yield_context& yield) {
    auto prepared = prepare_service_call(node, request, service, session);
    if (prepared) {
        prepared = check_order(session);
    }
    if (!prepared) {
        return tl::make_unexpected(prepared.error());
    }
    auto room = reserve_charge(node.charges);
    if (!room) {
        return tl::make_unexpected(room.error());
    }
    auto claimed = claim_order(node, session, yield);
    const auto claimed_at = clock::now();
    if (!claimed) {
        return tl::make_unexpected(claimed.error());
    }
    if (*claimed) {
        return **claimed;
    }
    return run_order(node, session, std::move(*room), claimed_at, yield);
}

core::result<adapters::http_reply> look_up(node_state& node, const adapters::http_request& request,
                                           const std::string& service, service_session& session,
                                           const yield_context& yield) {
    if (auto prepared = prepare_service_call(node, request, service, session); !prepared) {
        return tl::make_unexpected(prepared.error());
    }
    if (!session.service.idempotent) {
        return fail(error_kind::bad_request,
                    "service \"" + session.service.name + "\" is not idempotent; call it under /v1/orders/");
    }
    auto room = reserve_charge(node.charges);
    if (!room) {
        return tl::make_unexpected(room.error());
    }
    auto answer = call_service(node, session, yield);
    if (answer && answer->status < 400 && session.service.price > 0) {
        charge_service_call(node, session, std::move(*room), yield);
    }
    return answer;
}

void finish(node_state& node, adapters::http_exchange& exchange, const service_session& session,
            const std::string& event, const core::result<adapters::http_reply>& answer) {
    adapters::http_reply reply;
    if (answer) {
        reply = json_reply(answer->body);
        reply.status = answer->status;
        const auto repeated = answer->headers.find("x-figspoke-repeated");
        if (repeated != answer->headers.end()) {
            reply.headers.insert(*repeated);
        }
    } else {
        reply = error_reply(answer.error(), addresses_for(node, answer.error()));
    }
    reply.headers["x-figspoke-request-id"] = session.caller.request_id;
    const std::string outcome = !answer ? std::string(core::error_answer_for(answer.error().kind).name)
                                : reply.headers.count("x-figspoke-repeated") > 0 ? "repeated"
                                                                                 : "answered";
    // The line is written before the answer: an operator who has seen an answer finds its decision.
    adapters::log_decision(render_service_line(session, event, outcome, clock::now()));
    node.metrics.add("figspoke_service_calls_total", {{"event", event}, {"outcome", outcome}});
    exchange.send(reply);
}

} // namespace

void serve_order(node_state& node, adapters::http_exchange& exchange, const std::string& service) {
    service_session session;
    session.started = clock::now();
    const auto answer = place_order(node, exchange.request(), service, session, exchange.yield());
    finish(node, exchange, session, "order", answer);
}

void serve_lookup(node_state& node, adapters::http_exchange& exchange, const std::string& service) {
    service_session session;
    session.started = clock::now();
    const auto answer = look_up(node, exchange.request(), service, session, exchange.yield());
    finish(node, exchange, session, "lookup", answer);
}

} // namespace figspoke::node
