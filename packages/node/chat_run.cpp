#include "node/chat_run.h"

#include <algorithm>

#include "core/hash.h"
#include "node/evidence_loops.h"
#include "node/random.h"

namespace figspoke::node {
namespace {

using adapters::chat_end;
using core::error_kind;
using core::fail;

// A stream that stays silent for longer is treated as broken.
constexpr std::chrono::milliseconds max_silence{30000};

// The state of one run over its attempts.
struct version_run {
    const core::model_version& version;
    std::string prefix;
    std::vector<std::string> tried;
    std::int64_t tokens = 0;
    std::int64_t prompt_tokens = 0;
    bool reached_upstream = false;
};

std::string_view to_string(chat_end end) {
    switch (end) {
    case chat_end::complete:
        return "complete";
    case chat_end::not_run:
        return "not_run";
    case chat_end::cancelled:
        return "cancelled";
    case chat_end::broken:
        break;
    }
    return "broken";
}

core::result<policy::upstream_decision> choose(node_state& node, const chat_session& session,
                                               const version_run& run) {
    policy::upstream_settings settings;
    settings.policy = node.settings.policy.upstreams == "round_robin" ? policy::upstream_policy::round_robin
                                                                      : policy::upstream_policy::affinity;
    // Suspects run alone; by fingerprint they spread over the upstreams.
    const std::string& prefix = session.runs_alone ? session.fingerprint : run.prefix;
    const policy::upstream_request request{prefix, node.settings.node.failure_domain, run.tried};
    const policy::upstream_draws draws{random_unit(), random_unit(), next_turn(node.upstreams)};
    return policy::choose_upstream(candidates_for_version(node.upstreams, *session.config, run.version.id,
                                                          run.prefix, std::chrono::steady_clock::now()),
                                   settings, request, draws);
}

adapters::chat_call make_call(const chat_session& session, const version_run& run,
                              const std::string& address) {
    const auto left = core::to_ms(session.caller.expires_at - std::chrono::steady_clock::now());
    adapters::chat_call call;
    call.address = address;
    call.request_id = session.caller.request_id;
    call.body = session.request.body;
    call.version = run.version.id;
    call.max_tokens = session.request.max_tokens;
    call.priority = static_cast<int>(session.caller.priority);
    call.resume_from = run.tokens;
    call.alone = session.runs_alone;
    call.idle_timeout = std::max(std::chrono::milliseconds(1), std::min(left, max_silence));
    return call;
}

upstream_result result_of(const adapters::chat_outcome& outcome) {
    if (outcome.end == chat_end::complete) {
        return upstream_result::succeeded;
    }
    // A refusal with a status is the upstream's own protection and says nothing about its health.
    const bool refused = outcome.end == chat_end::not_run && outcome.status != 0;
    return refused || outcome.end == chat_end::cancelled ? upstream_result::not_counted
                                                         : upstream_result::failed;
}

void record_attempt(node_state& node, chat_session& session, version_run& run, const std::string& upstream,
                    const adapters::chat_outcome& outcome) {
    const auto now = std::chrono::steady_clock::now();
    const auto running =
        record_end(node.upstreams, upstream, session.caller.request_id, result_of(outcome), now);
    if (outcome.connection_lost) {
        record_upstream_crash(node.evidence, node.incarnation, upstream, running, now);
        // A repeat may arrive at another node within milliseconds.
        send_evidence(node);
    } else if (outcome.end == chat_end::complete && session.runs_alone) {
        node::record_passed_alone(node.evidence, node.incarnation, session.fingerprint, now);
    }
    // A broken connection is the upstream's fault, an error that it reports may be the version's.
    if (outcome.end == chat_end::broken && !outcome.connection_lost && outcome.status != 0) {
        record_version_outcome(node.evidence, node.incarnation, {run.version.id, session.caller.task}, false,
                               false);
    }
    run.tried.push_back(upstream);
    run.tokens += outcome.tokens;
    run.prompt_tokens = std::max(run.prompt_tokens, outcome.prompt_tokens);
    run.reached_upstream = run.reached_upstream || outcome.end != chat_end::not_run;
}

adapters::chat_outcome attempt(node_state& node, chat_session& session, version_run& run,
                               const policy::upstream_decision& choice,
                               const adapters::token_handler& on_token,
                               const boost::asio::yield_context& yield) {
    const auto& upstream = session.config->upstreams.at(choice.name);
    record_start(node.upstreams, choice.name, session.caller.request_id,
                 {session.fingerprint, session.runs_alone, crashes_seen(node.evidence, choice.name)},
                 std::chrono::steady_clock::now());
    auto outcome =
        adapters::run_chat(node.client, make_call(session, run, upstream.address), on_token, yield);
    record_attempt(node, session, run, choice.name, outcome);
    session.attempts.push_back({run.version.id, choice.name, std::string(policy::to_string(choice.reason)),
                                std::string(to_string(outcome.end)), outcome.tokens});
    return outcome;
}

// Chat is idempotent: a repeat yields the same answer and is charged once. A request that must run alone is
// not repeated, since a second crash would be attributed to it.
bool retry_allowed(node_state& node, const chat_session& session, const adapters::chat_outcome& outcome) {
    if (session.runs_alone && outcome.connection_lost) {
        return false;
    }
    policy::failed_attempt question;
    question.failure =
        outcome.end == chat_end::not_run ? error_kind::upstream_refused : error_kind::upstream_failed;
    question.idempotent = true;
    question.attempts = static_cast<int>(session.attempts.size());
    question.time_left = core::to_ms(session.caller.expires_at - std::chrono::steady_clock::now());
    question.expected = session.plan.latency;
    const std::lock_guard lock(node.evidence.mutex);
    return policy::decide_retry(node.evidence.retries, node.evidence.retry_limits, question) ==
           policy::retry_decision::retry;
}

// The table may have changed while the request waited for a slot, or the process may have been paused.
std::optional<core::error> refusal_of_version(node_state& node, const chat_session& session,
                                              const version_run& run) {
    const auto now = std::chrono::steady_clock::now();
    if (!run.reached_upstream && decide_service(node.nodes, now) == state::service_decision::isolated) {
        return core::error{error_kind::isolated, "this node's table may be out of date", std::nullopt};
    }
    const auto config = current_config(node.config);
    const auto version = config->versions.find(run.version.id);
    if (version == config->versions.end() || version->second.state == core::version_state::withdrawn) {
        return core::error{error_kind::version_withdrawn,
                           "version " + run.version.id + " was withdrawn before it could answer",
                           std::nullopt};
    }
    const auto account = config->accounts.find(session.caller.account.name);
    if (account == config->accounts.end() || !core::is_allowed(account->second, version->second)) {
        return core::error{error_kind::not_allowed,
                           "the client account may no longer use version " + run.version.id, std::nullopt};
    }
    return std::nullopt;
}

// The error of a run that can't go on. It never says "not run" once an upstream may have worked.
core::error final_error(const version_run& run, const core::error& cause) {
    if (run.tokens > 0) {
        return {error_kind::stream_interrupted, cause.message, std::nullopt};
    }
    if (run.reached_upstream) {
        return {error_kind::upstream_failed, cause.message, std::nullopt};
    }
    return cause;
}

// Waits until a paused request has a slot again. The upstream that it left may be chosen again.
core::result<void> resume(chat_session& session, version_run& run, const boost::asio::yield_context& yield) {
    session.attempts.back().outcome = "paused";
    run.tried.pop_back();
    const auto resumed = session.slot.await_resume(yield);
    if (!resumed) {
        return tl::make_unexpected(final_error(run, resumed.error()));
    }
    return {};
}

void settle_run(chat_session& session, const version_run& run) {
    const std::int64_t prompt = run.prompt_tokens > 0 ? run.prompt_tokens : session.request.prompt_tokens;
    const bool worked = run.reached_upstream && (run.prompt_tokens > 0 || run.tokens > 0);
    session.version = run.version.id;
    session.prompt_tokens = worked ? prompt : 0;
    session.tokens = run.tokens;
    session.billed_micros = price_of(run.version, session.prompt_tokens, run.tokens);
    session.internal_micros += session.billed_micros;
}

core::result<void> run_attempts(node_state& node, chat_session& session, version_run& run,
                                const adapters::token_handler& on_token,
                                const boost::asio::yield_context& yield) {
    core::error last{error_kind::no_capacity, "no upstream serves version " + run.version.id, std::nullopt};
    for (;;) {
        if (std::chrono::steady_clock::now() >= session.caller.expires_at) {
            return tl::make_unexpected(
                final_error(run, {error_kind::deadline_unreachable,
                                  "the deadline passed before an upstream was free", std::nullopt}));
        }
        if (const auto refused = refusal_of_version(node, session, run)) {
            return tl::make_unexpected(final_error(run, *refused));
        }
        const auto choice = choose(node, session, run);
        if (!choice) {
            return tl::make_unexpected(final_error(run, run.tried.empty() ? choice.error() : last));
        }
        const auto outcome = attempt(node, session, run, *choice, on_token, yield);
        if (outcome.end == chat_end::complete) {
            session.finish_reason = outcome.finish_reason;
            return {};
        }
        if (outcome.end == chat_end::cancelled && session.slot.is_paused()) {
            if (auto resumed = resume(session, run, yield); !resumed) {
                return resumed;
            }
            continue;
        }
        if (outcome.end == chat_end::cancelled) {
            session.cancelled = true;
            return {};
        }
        last = {outcome.end == chat_end::not_run ? error_kind::upstream_refused : error_kind::upstream_failed,
                "upstream " + choice->name + ": " + outcome.message, std::nullopt};
        if (!retry_allowed(node, session, outcome)) {
            return tl::make_unexpected(final_error(run, last));
        }
        if (outcome.connection_lost) {
            session.runs_alone = true;
        }
    }
}

} // namespace

core::result<void> run_on_version(node_state& node, chat_session& session, const std::string& version,
                                  const adapters::token_handler& on_token,
                                  const boost::asio::yield_context& yield) {
    const auto& target = session.config->versions.at(version);
    const auto pass_on = [&](std::string_view token) {
        // The token that arrives with a pause is passed on: it counts as delivered.
        return on_token(token) && !session.slot.is_paused();
    };
    version_run run{target, core::sha256_hex(version + "\n" + session.request.prompt_prefix), {}, 0, 0,
                    false};
    auto done = run_attempts(node, session, run, pass_on, yield);
    settle_run(session, run);
    return done;
}

} // namespace figspoke::node
