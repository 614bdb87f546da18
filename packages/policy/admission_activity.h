#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "policy/admission_fair_queue.h"
#include "policy/admission_headroom.h"

namespace figspoke::policy {

/// Recent demand of one account for one priority of this node.
struct account_activity {
    double weight = 1;
    /// Work that arrives per second, in slots, as a decaying mean over about the last 30 s.
    double offered_load = 0;
    core::steady_time first_seen;
    core::steady_time last_seen;
};

/// The accounts that recently sent requests of one priority.
struct account_activities {
    std::map<std::string, account_activity> accounts;
    /// Sum of the weights of these accounts.
    double total_weight = 0;
    core::steady_time weight_updated_at{};
    /// Rate of requests from accounts within their fair share.
    event_rate within_share_arrivals;
};

/// Records the arrival of a request at a node with `capacity` slots.
void record_arrival(account_activities& activities, const admission_request& request, double capacity,
                    core::steady_time now);

/// Returns whether the offered load of an account exceeds its fair share of `capacity` slots.
bool exceeds_fair_share(const account_activities& activities, const std::string& account, double capacity,
                        core::steady_time now);

} // namespace figspoke::policy
