#pragma once

#include <map>
#include <string>

#include "core/time.h"
#include "policy/admission_fair_queue.h"
#include "policy/admission_headroom.h"

namespace figspoke::policy {

/// What an account asks of this node in one priority.
struct account_activity {
    double weight = 1;
    /// Work that arrives in a second, in slots, over the last 30 s or so.
    double offered = 0;
    core::steady_time first_seen;
    core::steady_time last_seen;
};

/// The accounts of one priority that were seen recently.
struct account_activities {
    std::map<std::string, account_activity> accounts;
    double weight = 0;
    core::steady_time weight_updated{};
    /// Arrivals of accounts that ask for no more than their share.
    event_rate light_arrivals;
};

/// Notes the arrival of a request.
void note_arrival(account_activities& activities, const admission_request& request, double capacity,
                  core::steady_time now);

/// Tells whether an account asks for more than its share of the slots.
bool is_heavy(const account_activities& activities, const std::string& account, double capacity,
              core::steady_time now);

} // namespace figspoke::policy
