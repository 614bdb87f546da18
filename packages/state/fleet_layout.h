#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// Bounds of the layout. Each cell of a fleet with several cells has at least half of `max_cell_members`.
struct layout_settings {
    /// Fleets up to this size form one cell, in which all nodes exchange heartbeats.
    std::size_t max_single_cell_members = 24;
    std::size_t max_cell_members = 16;
};

/// A node's cell and neighbours in the fleet. All members of a cell exchange heartbeats. Each also has a few
/// links to members of other cells, over which updates reach all cells in a logarithmic number of hops.
struct fleet_layout {
    std::size_t cells = 1;
    std::size_t cell = 0;
    /// Ids of the other members of this node's cell.
    std::vector<std::string> cell_peers;
    /// Ids of the linked members of other cells.
    std::vector<std::string> links;
};

/// Computes the layout of `self` among the members, which are pairs of failure domain and id and include
/// `self`. Nodes that know the same members compute the same cells. Adding or removing a member moves at most
/// one member across each border between cells, unless the number of cells changes.
fleet_layout plan_layout(std::vector<std::pair<std::string, std::string>> members, const std::string& self,
                         const layout_settings& settings);

/// Computes the layout among the members that haven't failed or left.
fleet_layout plan_layout(const membership& known, const health_timeouts& timeouts, core::steady_time now,
                         const layout_settings& settings);

/// Returns the maximum number of links on the shortest path between two cells.
std::size_t max_cell_hops(std::size_t cells);

} // namespace figspoke::state
