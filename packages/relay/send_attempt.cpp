#include "relay/send_attempt.h"

#include <algorithm>

#include "policy/answer_memory.h"
#include "relay/boot_clock.h"
#include "relay/restrictions.h"

namespace figspoke::relay {
namespace {

// An upstream may answer an earlier request twice. More than a few such answers mean that requests and
// answers on the connection no longer correspond.
constexpr int max_discarded_answers = 2;

attempt_failure failure_of(const link_error& error) {
    const bool sent = error.cause != link_failure::not_connected && error.cause != link_failure::refused &&
                      error.cause != link_failure::withdrawn;
    return {sent ? policy::send_result::unknown : policy::send_result::not_sent, error.cause, error.message};
}

link_result<begun_answer> read_matching_head(relay_state& node, const attempt_plan& plan,
                                             const upstream_link_ptr& link,
                                             const boost::asio::yield_context& yield) {
    // One deadline for all that comes before the answer: late answers to earlier requests extend nothing.
    const auto deadline = boot_now() + plan.read_timeout;
    for (int discarded = 0; discarded <= max_discarded_answers; ++discarded) {
        const auto left =
            std::max(std::chrono::ceil<core::milliseconds>(deadline - boot_now()), core::milliseconds(1));
        begun_answer answer{link, {}, node.memory.open(policy::memory_share::answers)};
        answer.memory.allow_yield([closed = std::weak_ptr<upstream_link>(link)] {
            if (const auto open = closed.lock()) {
                open->close_as_too_large();
            }
            return true;
        });
        const auto hold_head = [&answer](std::size_t length) {
            answer.head_memory = policy::memory_of_head(length);
            return answer.memory.resize(answer.head_memory, boot_now());
        };
        auto head = link->read_head(left, hold_head, yield);
        if (!head) {
            return tl::make_unexpected(head.error());
        }
        answer.head = std::move(*head);
        node.protocol.read_answer(answer.head);
        const bool refusal_without_id =
            answer.head.request_id.empty() && answer.head.not_run && !link->reused;
        if (answer.head.request_id == plan.connect.request_id || refusal_without_id) {
            return answer;
        }
        node.metrics.add("relay_foreign_answers_total", {});
        if (!link->reused || link->ends_with_connection()) {
            break;
        }
        const policy::body_limits limits{boot_now(), deadline, plan.read_timeout, false};
        if (auto body = read_answer_body(answer, limits, max_discarded_bytes, yield); !body) {
            return tl::make_unexpected(body.error());
        }
    }
    return tl::make_unexpected(link_error{link_failure::malformed, "the answer belongs to another request"});
}

} // namespace

link_result<void> open_link(relay_state& node, const state::upstream_entry& upstream,
                            const connect_plan& plan, upstream_link_ptr& current,
                            const boost::asio::yield_context& yield) {
    current = node.pool.take(upstream.id, plan.request_id, boot_now(), plan.max_idle);
    if (current) {
        return {};
    }
    const auto link = std::make_shared<upstream_link>(node.context);
    current = link;
    auto connected = link->connect(upstream.address, plan.connect_timeout, yield);
    node.metrics.add("relay_connections_total", {{"outcome", connected ? "opened" : "failed"}});
    return connected;
}

tl::expected<begun_answer, attempt_failure> send_and_read_head(relay_state& node, const attempt_plan& plan,
                                                               upstream_link_ptr& current,
                                                               const std::function<void()>& on_sent,
                                                               const boost::asio::yield_context& yield) {
    if (plan.link) {
        current = plan.link;
    } else if (const auto opened = open_link(node, plan.upstream, plan.connect, current, yield); !opened) {
        return tl::make_unexpected(failure_of(opened.error()));
    }
    if (is_withdrawn(node, plan.upstream)) {
        current->close();
        return tl::make_unexpected(
            failure_of({link_failure::withdrawn, "the upstream left during the connection"}));
    }
    const auto link = current;
    state::record_request(link->history, plan.connect.request_id);
    link->start_request(*plan.head, plan.headers, plan.body);
    on_sent();
    auto answer = read_matching_head(node, plan, link, yield);
    if (!answer) {
        link->close();
        return tl::make_unexpected(failure_of(answer.error()));
    }
    return std::move(*answer);
}

bool hold_answer_bytes(begun_answer& answer, std::size_t bytes) {
    const auto now = boot_now();
    answer.memory.progress(now);
    return answer.memory.resize(answer.head_memory + policy::memory_of_body(bytes), now);
}

link_result<std::string> read_answer_body(begun_answer& answer, const policy::body_limits& limits,
                                          std::size_t max_bytes, const boost::asio::yield_context& yield,
                                          const std::function<void(std::size_t)>& on_progress) {
    const link_error too_large{link_failure::malformed, "the body of the answer is too large"};
    if (answer.link->stated_length() > max_bytes) {
        return tl::make_unexpected(too_large);
    }
    std::string body;
    while (true) {
        const auto wait = policy::body_wait(limits, body.size(), boot_now());
        if (wait <= core::milliseconds(0)) {
            return tl::make_unexpected(
                link_error{link_failure::timed_out, "the body of the answer arrives too slowly"});
        }
        auto piece = answer.link->read_some(wait, yield);
        if (!piece) {
            return tl::make_unexpected(piece.error());
        }
        if (piece->empty()) {
            answer.memory.forbid_yield();
            return body;
        }
        const auto size = body.size() + piece->size();
        if (size > max_bytes) {
            return tl::make_unexpected(too_large);
        }
        if (!hold_answer_bytes(answer, size)) {
            return tl::make_unexpected(
                link_error{link_failure::malformed, "the memory for answers is exhausted"});
        }
        body += *piece;
        if (on_progress) {
            on_progress(body.size());
        }
    }
}

void release_unused_link(relay_state& node, const std::string& upstream, const upstream_link_ptr& link) {
    if (!link->has_no_input() || node.registry.upstreams.count(upstream) == 0 ||
        is_evacuated(node, upstream)) {
        link->close();
        return;
    }
    node.pool.keep(upstream, link, boot_now());
}

void release_link(relay_state& node, const std::string& upstream, const begun_answer& answer) {
    if (!answer.link->reusable() || node.registry.upstreams.count(upstream) == 0 ||
        is_evacuated(node, upstream)) {
        answer.link->close();
        return;
    }
    answer.link->idle_timeout = answer.head.idle_timeout;
    node.pool.keep(upstream, answer.link, boot_now());
}

} // namespace figspoke::relay
