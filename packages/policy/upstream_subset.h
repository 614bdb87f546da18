#pragma once

#include <string>
#include <vector>

#include "core/config.h"

namespace figspoke::policy {

struct subset_settings {
    /// Least number of upstreams of a version that a node uses, where there are as many.
    std::size_t least = 16;
};

/// Returns the names of the upstreams of one version that a node uses. Versions with fewer than twice
/// `least` upstreams are not divided. Otherwise the upstreams are cut into slices and the members share
/// the slices evenly, so that each upstream is used by about the same number of nodes. Nodes of one slice
/// agree on it, so that prefixes stay together. One upstream or member more or less moves few others.
std::vector<std::string> upstream_subset(const core::config_snapshot& config, const std::string& version,
                                         const std::string& node, const std::vector<std::string>& members,
                                         const subset_settings& settings);

} // namespace figspoke::policy
