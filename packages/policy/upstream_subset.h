#pragma once

#include <string>
#include <vector>

#include "core/config.h"

namespace figspoke::policy {

struct subset_settings {
    /// Minimum number of upstreams of a version that a node uses, if the version has as many.
    std::size_t min_upstreams = 16;
};

/// Returns the names of the upstreams of one version that a node uses. With fewer than twice `min_upstreams`
/// upstreams, all nodes use all of them. Otherwise the upstreams are divided into slices and the nodes are
/// spread evenly over the slices, so that each upstream is used by about the same number of nodes. All nodes
/// of a slice use the same upstreams, which keeps prefixes together. Adding or removing one upstream or
/// member changes few other assignments.
std::vector<std::string> upstream_subset(const core::config_snapshot& config, const std::string& version,
                                         const std::string& node, const std::vector<std::string>& members,
                                         const subset_settings& settings);

} // namespace figspoke::policy
