#pragma once

#include "adapters/http_types.h"
#include "core/error.h"
#include "node/chat_session.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Reads a chat request and chooses its plan. Fails with the error for the caller; nothing ran then.
/// `session` holds what was read up to the failure, for the decision log.
core::result<void> prepare_chat(node_state& node, const adapters::http_request& request,
                                chat_session& session);

/// Returns the error for new work while this node may not take any: no table, isolated or draining.
std::optional<core::error> refusal_of_new_work(node_state& node);

/// Returns the addresses that a caller is to use instead where this node is being stopped.
std::vector<std::string> addresses_for(node_state& node, const core::error& cause);

} // namespace figspoke::node
