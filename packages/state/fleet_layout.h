#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// Bounds of the layout. A cell of a large fleet holds between half of `cell_members` and all of them.
struct layout_settings {
    /// Fleets up to this size form one cell, in which all nodes exchange beats.
    std::size_t whole_members = 24;
    std::size_t cell_members = 16;
};

/// Where a node stands in its fleet. Members of one cell exchange beats with each other; each of them has a
/// few links to members of other cells, over which news pass in a logarithmic number of steps.
struct fleet_layout {
    std::size_t cells = 1;
    std::size_t cell = 0;
    /// The other members of the own cell.
    std::vector<std::string> mates;
    std::vector<std::string> links;
};

/// Places `self` among the members, which are pairs of failure domain and id and include `self`. All nodes
/// that know the same members come to the same cells. One member more or less moves at most one member
/// across each border between cells, unless the number of cells changes.
fleet_layout plan_layout(std::vector<std::pair<std::string, std::string>> members, const std::string& self,
                         const layout_settings& settings);

/// The same among the members that haven't failed or left.
fleet_layout plan_layout(const membership& known, const health_timeouts& timeouts, core::steady_time now,
                         const layout_settings& settings);

/// Largest number of links that news cross between two cells.
std::size_t longest_path(std::size_t cells);

} // namespace figspoke::state
