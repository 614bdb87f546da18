#include "node/chat_plan.h"

#include "core/hash.h"
#include "node/new_work.h"
#include "node/random.h"
#include "state/conversation_token.h"

namespace figspoke::node {
namespace {

using core::error_kind;
using core::fail;
using clock = std::chrono::steady_clock;

core::result<void> read_conversation(const node_state& node, chat_session& session) {
    if (session.caller.conversation_token.empty()) {
        session.conversation = core::random_hex(8);
        return {};
    }
    const auto pin = state::verify_conversation_token(node.secrets.token_key, session.caller.account.name,
                                                      session.caller.conversation_token);
    if (!pin) {
        return tl::make_unexpected(pin.error());
    }
    session.conversation = pin->conversation;
    session.pinned_version = pin->version;
    return {};
}

core::result<void> check_suspect(node_state& node, chat_session& session) {
    session.fingerprint = policy::crash_fingerprint(session.caller.account.name, session.request.body);
    const auto mode = run_mode_of(node.evidence, session.fingerprint, clock::now());
    if (mode == policy::run_mode::refused) {
        return fail(error_kind::crash_suspect, "this request has crashed the upstreams that ran it");
    }
    session.runs_alone = mode == policy::run_mode::alone;
    return {};
}

policy::plan_request make_plan_request(const chat_session& session) {
    policy::plan_request request;
    request.account = session.caller.account.name;
    request.task = session.caller.task;
    request.model = session.request.model == "auto" ? "" : session.request.model;
    request.rollout_key = session.conversation;
    request.pinned_version = session.pinned_version;
    request.quality_target = session.caller.quality;
    request.prompt_tokens = session.request.prompt_tokens;
    request.answer_tokens = session.request.max_tokens;
    request.deadline = session.caller.deadline;
    request.may_cascade = !session.request.stream;
    return request;
}

core::result<void> choose_plan(node_state& node, chat_session& session) {
    const auto now = clock::now();
    const auto capacity = version_capacities(node.upstreams, *session.config, now);
    policy::plan_settings settings;
    settings.policy =
        policy::parse_plan_policy(node.settings.policy.plan).value_or(policy::plan_policy::least_cost);
    const std::lock_guard lock(node.evidence.mutex);
    settings.exploration = policy::exploration_probability(node.evidence.exploration);
    settings.average_gain = node.evidence.exploration.average_gain;
    auto plan =
        policy::choose_plan({*session.config, node.evidence.quality, capacity, now}, settings,
                            make_plan_request(session), policy::plan_draws{random_unit(), random_unit()});
    if (!plan) {
        return tl::make_unexpected(plan.error());
    }
    session.plan = std::move(*plan);
    policy::record_plan(node.evidence.exploration, session.plan.reason == policy::plan_reason::exploration,
                        session.plan.exploration_gain);
    return {};
}

} // namespace

core::result<void> prepare_chat(node_state& node, const adapters::http_request& request,
                                chat_session& session) {
    auto accepted = accept_caller(node, request, session.started);
    if (!accepted) {
        return tl::make_unexpected(accepted.error());
    }
    session.config = std::move(accepted->config);
    session.caller = std::move(accepted->caller);
    session.caller.task = known_task(node.evidence, session.caller.task);
    auto parsed = parse_chat_request(request.body);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    session.request = std::move(*parsed);
    if (auto done = read_conversation(node, session); !done) {
        return done;
    }
    if (auto done = check_suspect(node, session); !done) {
        return done;
    }
    return choose_plan(node, session);
}

} // namespace figspoke::node
