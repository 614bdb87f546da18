#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "policy/upstream_restrictions.h"
#include "relay/relay_state.h"

namespace figspoke::relay {

/// Regions in which a request may run; an empty list allows all.
struct request_regions {
    std::vector<std::string> of_route;
    std::vector<std::string> of_account;
};

/// Returns why an upstream can't take a request now.
policy::restriction_verdict restriction_now(relay_state& node, const state::upstream_entry& entry,
                                            const request_regions& regions);

/// Returns the restriction that ends first, if every upstream of the service is restricted.
std::optional<policy::restriction_verdict> service_restriction(relay_state& node, const std::string& service,
                                                               const request_regions& regions);

/// Returns whether an upstream that was chosen may get no request any more: it has left, restarted or begun
/// to leave, or its failure domain is evacuated.
bool is_withdrawn(relay_state& node, const state::upstream_entry& chosen);

/// Returns whether the upstream's failure domain is evacuated.
bool is_evacuated(const relay_state& node, const std::string& upstream);

/// Replaces the evacuated failure domains. Idle connections there are closed; upstreams of a domain that is
/// taken back are assumed to be cold until their registrations tell.
void apply_evacuations(relay_state& node, std::set<std::string> domains);

/// Records the cold times of the registry, and drops what belongs to upstreams that restarted or have gone.
void apply_registered_cold_times(relay_state& node);

/// Records that an upstream couldn't be reached. Peers are told on the next tick if it refused a connection,
/// which shows that its process is gone.
void record_upstream_down(relay_state& node, const std::string& upstream, link_failure cause);

/// Assumes that any upstream may have become cold while this VM was paused.
void assume_all_cold(relay_state& node);

/// Records what an answer says of further requests to its upstream.
void record_answer_notice(relay_state& node, const state::upstream_entry& entry, const answer_head& head);

/// Counts a request that is sent to the upstream against its limits.
void count_limited_send(relay_state& node, const std::string& upstream);

/// Tells peers the upstreams that were newly seen to be down. Called on each tick.
void tell_down_upstreams(relay_state& node);

/// Adds the upstreams that a peer's message says to be down.
void merge_down_message(relay_state& node, std::string_view bytes);

/// Returns the number of registered upstreams by restriction, for requests without regions.
std::map<std::string, int> count_restrictions(relay_state& node);

} // namespace figspoke::relay
