#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"
#include "node/admission_gate.h"
#include "node/caller.h"
#include "node/chat_request.h"
#include "policy/plan_choice.h"

namespace figspoke::node {

/// One try of a chat request on one upstream.
struct chat_attempt {
    std::string version;
    std::string upstream;
    /// Why the upstream was chosen, as the decision log writes it.
    std::string reason;
    /// `complete`, `not_run`, `broken` or `cancelled`.
    std::string outcome;
    std::int64_t tokens = 0;
};

/// All that is known of one chat request while it is served.
struct chat_session {
    std::shared_ptr<const core::config_snapshot> config;
    node::caller caller;
    chat_request request;
    /// Id of the conversation, new or from the caller's token.
    std::string conversation;
    /// Version of the caller's token.
    std::optional<std::string> pinned_version;
    /// SHA-256 of client account and body.
    std::string fingerprint;
    /// Whether the request is suspected to have crashed an upstream and must run without companions.
    bool runs_alone = false;
    policy::plan_decision plan;
    core::steady_time started;
    /// The slot that the request occupies while it runs.
    admission_slot slot;

    std::vector<chat_attempt> attempts;
    /// The version whose answer the caller gets.
    std::string version;
    std::int64_t prompt_tokens = 0;
    std::int64_t tokens = 0;
    /// `stop` or `length`.
    std::string finish_reason = "stop";
    /// Whether the caller closed the connection or stopped reading.
    bool cancelled = false;
    /// What the account is billed and what all attempts cost, in millionths of the currency unit.
    std::int64_t billed_micros = 0;
    std::int64_t internal_micros = 0;
    std::optional<core::steady_time> first_token_at;
};

/// Price of a number of tokens of a version, in millionths of the currency unit, rounded up.
std::int64_t price_of(const core::model_version& version, std::int64_t prompt_tokens, std::int64_t tokens);

} // namespace figspoke::node
