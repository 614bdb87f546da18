#pragma once

#include <string>
#include <string_view>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Returns the time from which this node may send the next request to an upstream within the limit that it
/// named; `steady_time::max()` if other nodes send in its place.
core::steady_time next_send_within_limit(relay_state& node, const std::string& upstream,
                                         core::steady_time now);

/// Records what an answer says of its upstream's limit, and tells peers where that is news.
void record_answer_limit(relay_state& node, const std::string& upstream, const answer_head& head);

/// Adds the statements of a peer's message.
void merge_limit_message(relay_state& node, std::string_view bytes);

/// Tells peers the statements of the last seconds and drops expired ones. Called about every second.
void refresh_limits(relay_state& node);

} // namespace figspoke::relay
