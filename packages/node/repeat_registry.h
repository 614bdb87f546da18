#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/spawn.hpp>

#include "adapters/http_types.h"
#include "core/error.h"
#include "core/time.h"
#include "node/chat_session.h"
#include "state/answer_cache.h"

namespace figspoke::node {

struct node_state;

/// Which node serves or has just served a keyed request, as its shard's owner remembers it.
struct serving_record {
    std::string node;
    std::string body_sha256;
    core::steady_time last_seen;
};

/// Keyed chat requests: where they are served, and the answers that this node keeps for repeats.
struct repeat_registry {
    std::mutex mutex;
    /// By idempotency id, for the shards that this node owns.
    std::map<std::string, serving_record> serving;
    state::answer_cache answers;
};

/// Registers a keyed request. Returns the kept answer of an earlier run, waiting for it while it runs, or
/// nothing where this node is to run the request. Fails with `key_reused`, or `in_progress` at the deadline.
core::result<std::optional<adapters::http_reply>> begin_keyed(node_state& node, const chat_session& session,
                                                              const boost::asio::yield_context& yield);

/// Keeps the answer of a keyed request for repeats.
void finish_keyed(node_state& node, const chat_session& session, const adapters::http_reply& answer);

/// Forgets a keyed request that failed, so that a repeat runs again.
void abandon_keyed(node_state& node, const chat_session& session);

/// Serves the calls of peers: registration at the shard's owner, and reading a kept answer.
std::string serve_keyed_begin(node_state& node, const std::string& from, const std::string& body);
std::string serve_keyed_fetch(node_state& node, const std::string& body);

/// Removes old records and answers. Call it about once a second.
void expire_keyed(node_state& node, core::steady_time now);

} // namespace figspoke::node
