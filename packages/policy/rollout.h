#pragma once

#include <string>
#include <vector>

#include "core/config.h"

namespace figspoke::policy {

/// Returns the version of one model for a new conversation, by the hash of the conversation's id and the
/// rollout weights of the candidates; null where no candidate has a weight. A conversation's answer changes
/// only where the weight that moves covers it.
const core::model_version* choose_rollout_version(const std::string& conversation,
                                                  const std::vector<const core::model_version*>& candidates);

} // namespace figspoke::policy
