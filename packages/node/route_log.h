#pragma once

#include <optional>
#include <string>

#include "core/error.h"
#include "node/chat_session.h"

namespace figspoke::node {

/// Renders the decision line of a chat request: who asked, the candidates with the reason each was passed
/// over, the choice, estimated and actual cost and how it ended.
std::string render_route_line(const chat_session& session, const std::optional<core::error>& failure,
                              core::steady_time now);

} // namespace figspoke::node
