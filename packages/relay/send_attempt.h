#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/spawn.hpp>

#include "policy/relay_outcome.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// One send of a request to one upstream.
struct attempt_plan {
    state::upstream_entry upstream;
    const request_head* head = nullptr;
    header_list headers;
    std::shared_ptr<const std::string> body;
    std::string request_id;
    /// Longest time without a byte of the answer.
    core::milliseconds silence{0};
    core::milliseconds connect_timeout{0};
    /// Idle connections older than this aren't used: they may die under a request that can't be repeated.
    core::milliseconds max_idle{0};
};

/// The head of an answer and the connection that its body comes from.
struct begun_answer {
    upstream_link_ptr link;
    answer_head head;
};

struct attempt_failure {
    policy::send_result result = policy::send_result::not_sent;
    link_failure why = link_failure::not_connected;
    std::string message;
};

/// Sends the request and reads the head of its answer. `current` names the connection while it is used, so
/// that a caller who leaves can have it closed. Answers to earlier requests that arrive late are discarded.
tl::expected<begun_answer, attempt_failure> open_answer(relay_state& node, const attempt_plan& plan,
                                                        upstream_link_ptr& current,
                                                        const std::function<void()>& on_sent,
                                                        const boost::asio::yield_context& yield);

/// Reads the rest of an answer as a whole, at most `max_whole_answer_bytes`.
link_result<std::string> read_whole(begun_answer& answer, core::milliseconds silence,
                                    const boost::asio::yield_context& yield);

/// Keeps the connection for a later request where it is clean, or closes it.
void release_link(relay_state& node, const std::string& upstream, const begun_answer& answer);

inline constexpr std::size_t max_whole_answer_bytes = 8U * 1024 * 1024;

} // namespace figspoke::relay
