#pragma once

#include <boost/asio/spawn.hpp>

#include "adapters/chat_upstream.h"
#include "core/error.h"
#include "node/chat_session.h"
#include "node/node_state.h"

namespace figspoke::node {

/// Runs the session's request on one version until the whole answer was read, and passes each token on.
/// A broken stream resumes on another upstream of the same version after the tokens already passed on.
/// Fails with the error that the caller is to get; a cancelled run succeeds with `session.cancelled` set.
core::result<void> run_on_version(node_state& node, chat_session& session, const std::string& version,
                                  const adapters::token_handler& on_token,
                                  const boost::asio::yield_context& yield);

} // namespace figspoke::node
