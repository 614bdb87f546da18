#pragma once

#include <string>
#include <vector>

#include "core/config.h"

namespace figspoke::policy {

/// Chooses the version of one model for a new conversation by the hash of the conversation's id, weighted by
/// the candidates' roll-out percentages; null where no percentage is above 0. When percentages change, only
/// the conversations in the shifted share get another version.
const core::model_version* choose_rollout_version(const std::string& conversation,
                                                  const std::vector<const core::model_version*>& candidates);

} // namespace figspoke::policy
