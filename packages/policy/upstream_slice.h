#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace figspoke::policy {

/// What the division of upstreams looks at.
struct sliced_upstream {
    std::string id;
    std::string failure_domain;
    /// Upstreams of one group can stand in for each other: they have service, version and models in common.
    std::string group;
};

/// Where a node stands among the cells of its fleet.
struct slice_place {
    std::size_t cells = 1;
    std::size_t cell = 0;
    std::size_t members = 1;
};

struct slice_settings {
    /// Upstreams of a group that a node uses at least, where there are as many. Fewer would make the loss of
    /// one, or one long prompt, felt by every request of the cell.
    std::size_t least = 4;
};

/// Returns the upstreams that the nodes of a cell use, each with the number of nodes that use it. The nodes
/// of a cell agree on them and know each other's load. A group is cut into as many slices as it has upstreams
/// for, at most one a cell; a power of two, so that few upstreams change cells as others come and go.
std::map<std::string, std::size_t> plan_slices(std::vector<sliced_upstream> upstreams,
                                               const slice_place& place, const slice_settings& settings);

} // namespace figspoke::policy
