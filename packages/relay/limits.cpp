#include "relay/limits.h"

#include <nlohmann/json.hpp>

#include "relay/boot_clock.h"
#include "relay/limit_message.h"
#include "relay/restrictions.h"

namespace figspoke::relay {
namespace {

// A refresh tells the statements of this time, so that the loss of a datagram is made up by the next ones.
constexpr core::milliseconds told_age{3000};
// Number of statements in a datagram.
constexpr std::size_t max_told = 400;

void tell_peers(relay_state& node, const limit_message& message) {
    if (!message.empty()) {
        node.peers->broadcast(encode_limit_message(message));
    }
}

limit_record record_of(const policy::limit_statement& statement, core::steady_time now) {
    return {statement.per_second, core::to_ms(now - statement.stated_at)};
}

void log_limit(relay_state& node, const std::string& upstream, const policy::limit_statement& statement,
               const char* source) {
    node.log.state("upstream_limit",
                   {{"upstream", upstream},
                    {"per_second", statement.per_second ? nlohmann::json(*statement.per_second) : nullptr},
                    {"source", source}});
}

} // namespace

core::steady_time next_send_within_limit(relay_state& node, const std::string& upstream,
                                         core::steady_time now) {
    if (node.limits.upstreams.empty()) {
        return core::steady_time::min();
    }
    return policy::next_send_within_limit(node.limits, {}, upstream, node.peers->sender_place(), now);
}

// A refusal says nothing of the time after it, so that only an answer without a limit ends one.
void record_answer_limit(relay_state& node, const std::string& upstream, const answer_head& head) {
    if (!head.limit_per_second && (head.not_run || head.wrong_upstream)) {
        return;
    }
    const auto now = boot_now();
    const policy::limit_statement statement{head.limit_per_second, now};
    if (policy::record_limit(node.limits, {}, upstream, statement)) {
        log_limit(node, upstream, statement, "answer");
        tell_peers(node, {{upstream, record_of(statement, now)}});
    }
}

void merge_limit_message(relay_state& node, std::string_view bytes) {
    const auto message = decode_limit_message(bytes);
    if (!message) {
        merge_down_message(node, bytes);
        return;
    }
    const auto now = boot_now();
    for (const auto& [upstream, record] : *message) {
        const policy::limit_statement statement{record.per_second, now - record.age};
        const bool known = node.registry.upstreams.count(upstream) > 0;
        if (known && policy::record_limit(node.limits, {}, upstream, statement)) {
            log_limit(node, upstream, statement, "peer");
        }
    }
}

void refresh_limits(relay_state& node) {
    const auto now = boot_now();
    policy::expire_limits(node.limits, {}, now);
    limit_message message;
    for (const auto& [upstream, entry] : node.limits.upstreams) {
        if (now - entry.statement.stated_at <= told_age && message.size() < max_told) {
            message[upstream] = record_of(entry.statement, now);
        }
    }
    tell_peers(node, message);
}

} // namespace figspoke::relay
