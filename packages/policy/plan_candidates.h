#pragma once

#include <vector>

#include "policy/plan_choice.h"

namespace figspoke::policy {

/// Lists all plans for a request. A plan that the table, the conversation, the roll-out or a lack of usable
/// upstreams excludes has that reason and no estimates. All others have estimates and the reason
/// `rejection_reason::chosen`, or `too_slow` where they can't meet the deadline.
std::vector<plan_candidate> list_candidates(const plan_inputs& inputs, const plan_settings& settings,
                                            const plan_request& request);

} // namespace figspoke::policy
