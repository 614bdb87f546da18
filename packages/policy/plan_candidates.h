#pragma once

#include <vector>

#include "policy/plan_choice.h"

namespace figspoke::policy {

/// Lists the plans for a request. Plans that are ruled out by the table, the conversation, the rollout or
/// missing upstreams carry their reason; all others have `pass_over::chosen`, their estimates, or
/// `too_slow` where they can't meet the deadline.
std::vector<plan_candidate> list_candidates(const plan_inputs& inputs, const plan_settings& settings,
                                            const plan_request& request);

} // namespace figspoke::policy
