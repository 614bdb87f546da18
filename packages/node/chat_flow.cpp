#include "node/chat_flow.h"

#include "adapters/decision_log.h"
#include "node/chat_plan.h"
#include "node/chat_run.h"
#include "node/chat_writer.h"
#include "node/evidence_loops.h"
#include "node/new_work.h"
#include "node/route_log.h"
#include "policy/answer_check.h"
#include "state/conversation_token.h"
#include "state/journal_key.h"

namespace figspoke::node {
namespace {

using core::error_kind;
using clock = std::chrono::steady_clock;

policy::request_size size_of(const chat_session& session) {
    return {session.caller.account.name, session.caller.task, session.request.prompt_tokens,
            session.request.max_tokens};
}

policy::admission_request make_admission(node_state& node, const chat_session& session) {
    const auto& version = session.config->versions.at(session.plan.version);
    policy::admission_request request;
    request.priority = session.caller.priority;
    request.account = session.caller.account.name;
    request.weight = session.caller.account.weight;
    {
        const std::lock_guard lock(node.evidence.mutex);
        request.work = policy::expected_work(node.evidence.generated, size_of(session), version);
    }
    request.deadline = session.caller.expires_at;
    // A paused request goes on after the tokens that it has, so that nothing is lost but time.
    request.pausable = session.caller.priority == core::priority::batch;
    return request;
}

bool is_flagged(const chat_session& session, const std::string& text, const std::string& finish_reason) {
    policy::answer_check_input facts;
    facts.text = text;
    facts.truncated = finish_reason == "length" && session.tokens < session.request.max_tokens;
    return policy::is_flagged(facts);
}

void set_head(const node_state& node, const chat_session& session, const std::string& version,
              chat_writer& writer) {
    const auto token = state::sign_conversation_token(
        node.secrets.token_key, {session.caller.account.name, session.conversation, version});
    writer.set_head({session.caller.request_id, version, token});
}

void record_answer(node_state& node, const chat_session& session, const std::string& version,
                   const std::string& after, bool flagged, const std::string& text) {
    record_version_outcome(node.evidence, node.incarnation, {version, session.caller.task}, true, flagged);
    // A cascade's steps are rated apart.
    {
        const std::lock_guard lock(node.evidence.mutex);
        policy::record_check(node.evidence.quality, node.incarnation, {session.caller.task, version, after},
                             flagged, clock::now());
        policy::record_generated_tokens(node.evidence.generated, size_of(session), session.tokens);
    }
    const std::string id = session.caller.request_id + (after.empty() ? "" : "-2");
    submit_for_rating(node, id, version, session.caller.task, after, flagged, text);
}

// Runs the first step of a cascade without showing it to the caller. Returns whether its answer is good
// enough, which is then passed on.
core::result<bool> run_first_step(node_state& node, chat_session& session, chat_writer& writer,
                                  const boost::asio::yield_context& yield) {
    std::vector<std::string> tokens;
    std::string text;
    const auto keep = [&](std::string_view token) {
        tokens.emplace_back(token);
        text += token;
        return true;
    };
    auto done = run_on_version(node, session, session.plan.version, keep, yield);
    if (!done) {
        return tl::make_unexpected(done.error());
    }
    const bool flagged = is_flagged(session, text, session.finish_reason);
    record_answer(node, session, session.plan.version, "", flagged, text);
    if (flagged) {
        return false;
    }
    set_head(node, session, session.version, writer);
    for (const auto& token : tokens) {
        writer.add_token(token);
    }
    return true;
}

core::result<void> run_visible_step(node_state& node, chat_session& session, const std::string& version,
                                    chat_writer& writer, const boost::asio::yield_context& yield) {
    set_head(node, session, version, writer);
    const auto pass_on = [&](std::string_view token) {
        if (!session.first_token_at) {
            session.first_token_at = clock::now();
        }
        return writer.add_token(token);
    };
    auto done = run_on_version(node, session, version, pass_on, yield);
    if (done && !session.cancelled) {
        const bool escalated = version != session.plan.version;
        record_answer(node, session, version, escalated ? session.plan.version : "",
                      is_flagged(session, writer.text(), session.finish_reason), writer.text());
    }
    return done;
}

core::result<void> run_plan(node_state& node, chat_session& session, chat_writer& writer,
                            const boost::asio::yield_context& yield) {
    if (session.plan.escalate_to.empty()) {
        return run_visible_step(node, session, session.plan.version, writer, yield);
    }
    const auto good = run_first_step(node, session, writer, yield);
    if (good && *good) {
        return {};
    }
    auto done = run_visible_step(node, session, session.plan.escalate_to, writer, yield);
    const bool first_ran =
        good || core::error_answer_for(good.error().kind).execution != core::execution::not_run;
    if (!done && first_ran &&
        core::error_answer_for(done.error().kind).execution == core::execution::not_run) {
        // The second step did not run, but the request did.
        return core::fail(core::error_kind::upstream_failed, done.error().message);
    }
    return done;
}

state::charge make_charge(const chat_session& session) {
    state::charge value;
    value.id = session.caller.request_id;
    value.account = session.caller.account.name;
    if (!session.caller.idempotency_key.empty()) {
        // The body is part of the id: a key that is used for another request must not hide its charge.
        value.key_id = state::idempotency_id(session.caller.account.name,
                                             "chat " + session.fingerprint + session.caller.idempotency_key);
    }
    value.version = session.version;
    value.prompt_tokens = session.prompt_tokens;
    value.generated_tokens = session.tokens;
    value.micros = session.billed_micros;
    value.internal_micros = session.internal_micros;
    value.cancelled = session.cancelled;
    return value;
}

core::result<void> admit_and_run(node_state& node, chat_session& session, chat_writer& writer,
                                 const boost::asio::yield_context& yield) {
    auto room = reserve_charge(node.charges);
    if (!room) {
        return tl::make_unexpected(room.error());
    }
    const auto reserved = static_cast<double>(session.request.prompt_tokens + session.request.max_tokens);
    auto within_limit = take_rate(node, session.caller.account, reserved, session.caller.expires_at, yield);
    if (!within_limit) {
        return within_limit;
    }
    auto slot = await_admission(node.admission, make_admission(node, session), yield);
    if (!slot) {
        return_rate(node, session.caller.account, reserved);
        return tl::make_unexpected(slot.error());
    }
    session.slot = std::move(*slot);
    {
        const std::lock_guard lock(node.evidence.mutex);
        policy::record_request(node.evidence.retries, node.evidence.retry_limits);
    }
    auto done = run_plan(node, session, writer, yield);
    return_rate(node, session.caller.account,
                reserved - static_cast<double>(session.prompt_tokens + session.tokens));
    session.slot = admission_slot();
    // What was generated is charged, also where the answer broke off; a request that did not run is free.
    if (session.billed_micros > 0 || session.internal_micros > 0) {
        book_charge(node, std::move(*room), make_charge(session), yield);
    }
    return done;
}

void count_request(node_state& node, const chat_session& session, const std::optional<core::error>& failure) {
    const std::string outcome =
        failure ? std::string(core::error_answer_for(failure->kind).name) : "answered";
    const std::string priority(core::to_string(session.caller.priority));
    node.metrics.add("figspoke_requests_total", {{"outcome", outcome}, {"priority", priority}});
    node.metrics.observe("figspoke_request_seconds", {{"priority", priority}},
                         clock::now() - session.started);
    if (session.first_token_at) {
        node.metrics.observe("figspoke_first_token_seconds", {{"priority", priority}},
                             *session.first_token_at - session.started);
    }
}

// Answers a repeat of a keyed request from the first run. Returns false where this node is to run the
// request, or must refuse it for the reason in `failure`.
bool send_kept_answer(node_state& node, const chat_session& session, adapters::http_exchange& exchange,
                      std::optional<core::error>& failure) {
    auto kept = begin_keyed(node, session, exchange.yield());
    if (!kept) {
        failure = kept.error();
        return false;
    }
    if (!*kept) {
        return false;
    }
    exchange.send(**kept);
    node.metrics.add("figspoke_repeats_total", {});
    return true;
}

// Runs an admitted or refused session to its end. Returns the error that the caller is still to get.
std::optional<core::error> run_chat_session(node_state& node, chat_session& session, chat_writer& writer,
                                            const boost::asio::yield_context& yield) {
    const bool keyed = !session.caller.idempotency_key.empty();
    if (keyed) {
        writer.keep_answer();
    }
    const auto done = admit_and_run(node, session, writer, yield);
    if (!done) {
        if (keyed) {
            abandon_keyed(node, session);
        }
        return done.error();
    }
    if (!session.cancelled) {
        session.cancelled = !writer.finish(session.prompt_tokens, session.tokens, session.billed_micros,
                                           session.finish_reason);
        if (keyed) {
            finish_keyed(node, session, writer.kept_answer());
        }
    }
    return std::nullopt;
}

} // namespace

void serve_chat(node_state& node, adapters::http_exchange& exchange) {
    chat_session session;
    session.started = clock::now();
    const auto prepared = prepare_chat(node, exchange.request(), session);
    const bool keyed = prepared && !session.caller.idempotency_key.empty();
    std::optional<core::error> failure;
    if (!prepared) {
        failure = prepared.error();
    } else if (keyed && send_kept_answer(node, session, exchange, failure)) {
        return;
    }
    chat_writer writer(exchange, session.request.stream);
    writer.set_head({session.caller.request_id, "", ""});
    if (!failure) {
        failure = run_chat_session(node, session, writer, exchange.yield());
    }
    if (failure) {
        writer.fail(*failure, addresses_for(node, *failure));
    }
    adapters::log_decision(render_route_line(session, failure, clock::now()));
    count_request(node, session, failure);
}

} // namespace figspoke::node
