#include "node/route_log.h"

#include <cmath>

#include <nlohmann/json.hpp>

#include "core/time.h"

namespace figspoke::node {
namespace {

using nlohmann::json;

json render_candidates(const policy::plan_decision& plan) {
    json candidates = json::array();
    for (const auto& candidate : plan.candidates) {
        json entry = {{"version", candidate.version}, {"reason", policy::to_string(candidate.reason)}};
        if (!candidate.escalate_to.empty()) {
            entry["escalate_to"] = candidate.escalate_to;
        }
        if (candidate.cost > 0) {
            entry["cost_micros"] = std::llround(candidate.cost);
            entry["quality"] = std::round(candidate.quality.lower_bound * 1000) / 1000;
        }
        candidates.push_back(std::move(entry));
    }
    return candidates;
}

json render_attempts(const chat_session& session) {
    json attempts = json::array();
    for (const auto& attempt : session.attempts) {
        attempts.push_back({{"version", attempt.version},
                            {"upstream", attempt.upstream},
                            {"reason", attempt.reason},
                            {"outcome", attempt.outcome},
                            {"tokens", attempt.tokens}});
    }
    return attempts;
}

std::string outcome_of(const chat_session& session, const std::optional<core::error>& failure) {
    if (failure) {
        return std::string(core::error_answer_for(failure->kind).name);
    }
    return session.cancelled ? "cancelled" : "answered";
}

} // namespace

std::string render_route_line(const chat_session& session, const std::optional<core::error>& failure,
                              core::steady_time now) {
    const json plan = {{"reason", policy::to_string(session.plan.reason)},
                       {"version", session.plan.version},
                       {"escalate_to", session.plan.escalate_to},
                       {"policy", policy::to_string(session.plan.policy)}};
    json line = {{"level", "info"},
                 {"event", "route"},
                 {"request_id", session.caller.request_id},
                 {"account", session.caller.account.name},
                 {"priority", core::to_string(session.caller.priority)},
                 {"task", session.caller.task},
                 {"conversation", session.conversation},
                 {"table_revision", session.config ? session.config->revision : 0},
                 {"plan", plan},
                 {"candidates", render_candidates(session.plan)},
                 {"attempts", render_attempts(session)},
                 {"estimated_cost_micros", std::llround(session.plan.cost)},
                 {"cost_micros", session.billed_micros},
                 {"internal_cost_micros", session.internal_micros},
                 {"prompt_tokens", session.prompt_tokens},
                 {"tokens", session.tokens},
                 {"outcome", outcome_of(session, failure)},
                 {"duration_ms", core::to_ms(now - session.started).count()}};
    if (failure) {
        line["message"] = failure->message;
    }
    if (session.first_token_at) {
        line["first_token_ms"] = core::to_ms(*session.first_token_at - session.started).count();
    }
    return line.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace figspoke::node
