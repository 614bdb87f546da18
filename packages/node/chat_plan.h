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

} // namespace figspoke::node
