#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/spawn.hpp>

#include "policy/answer_progress.h"
#include "policy/relay_outcome.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// How a connection for a request is taken from the pool or made.
struct connect_plan {
    std::string request_id;
    core::milliseconds connect_timeout{0};
    /// Maximum idle time of a pooled connection that is used. The upstream may close an older one during a
    /// request that can't be repeated.
    core::milliseconds max_idle{0};
};

/// Parameters of a send of a request to an upstream.
struct attempt_plan {
    state::upstream_entry upstream;
    const request_head* head = nullptr;
    header_list headers;
    std::shared_ptr<const std::string> body;
    connect_plan connect;
    /// The connection to send on, if it is open already.
    upstream_link_ptr link;
    /// Maximum time until the head of the answer.
    core::milliseconds read_timeout{0};
};

/// The head of an answer and the connection from which its body is read.
struct begun_answer {
    upstream_link_ptr link;
    answer_head head;
    /// The bytes of the head and the body in the budget. The answer may have to yield until it is read.
    policy::memory_reservation memory{};
    /// The part of these that the head takes.
    std::size_t head_memory = 0;
};

struct attempt_failure {
    policy::send_result result = policy::send_result::not_sent;
    link_failure cause = link_failure::not_connected;
    std::string message;
};

/// Takes a connection to an upstream from the pool or makes one. Sets `current` to the connection before it
/// is open, so that it can be closed meanwhile.
link_result<void> open_link(relay_state& node, const state::upstream_entry& upstream,
                            const connect_plan& plan, upstream_link_ptr& current,
                            const boost::asio::yield_context& yield);

/// Sends the request and reads the head of its answer. Sets `current` to the connection in use, so that it
/// can be closed when the caller disconnects. Discards late answers to earlier requests.
tl::expected<begun_answer, attempt_failure> send_and_read_head(relay_state& node, const attempt_plan& plan,
                                                               upstream_link_ptr& current,
                                                               const std::function<void()>& on_sent,
                                                               const boost::asio::yield_context& yield);

/// Takes the memory for the part of an answer's body that is held. Returns false if the budget is exhausted.
bool hold_answer_bytes(begun_answer& answer, std::size_t bytes);

/// Reads the body of an answer, at most `max_bytes`. Calls `on_progress` with the number of bytes so far.
link_result<std::string> read_answer_body(begun_answer& answer, const policy::body_limits& limits,
                                          std::size_t max_bytes, const boost::asio::yield_context& yield,
                                          const std::function<void(std::size_t)>& on_progress = {});

/// Returns a connection that carried nothing since it was opened or taken from the pool.
void release_unused_link(relay_state& node, const std::string& upstream, const upstream_link_ptr& link);

/// Returns the connection to the pool if it is reusable and its upstream is registered; closes it otherwise.
void release_link(relay_state& node, const std::string& upstream, const begun_answer& answer);

inline constexpr std::size_t max_whole_answer_bytes = 8U * 1024 * 1024;

/// Maximum length of a body that is read only so that its connection can be used again.
inline constexpr std::size_t max_discarded_bytes = 256U * 1024;

} // namespace figspoke::relay
