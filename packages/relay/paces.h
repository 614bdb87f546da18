#pragma once

#include <string>
#include <string_view>

#include "relay/relay_state.h"

namespace figspoke::relay {

/// Starts the pace of an upstream that has started or recovered while this node serves.
void begin_upstream_pace(relay_state& node, const std::string& upstream, const char* cause);

/// Records what an event of a request says of the pace of its upstream. In a small fleet peers are told of a
/// new limit; in a large one the upstream's load aggregator finds its pace.
void record_pace_event(relay_state& node, const std::string& upstream, policy::upstream_event event);

/// Merges a peer's message.
void merge_pace_message(relay_state& node, std::string_view bytes);

/// Removes paces whose time has ended, and repeats the others to peers that missed a message.
void refresh_paces(relay_state& node);

/// Sets whether one more request would exceed the pace of the candidate's upstream.
void apply_pace(const relay_state& node, policy::relay_candidate& candidate, int own_requests);

} // namespace figspoke::relay
