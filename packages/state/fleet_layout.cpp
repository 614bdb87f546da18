#include "state/fleet_layout.h"

#include <algorithm>

namespace figspoke::state {
namespace {

// Returns a power of two, so that the number of cells rarely changes as members join and leave.
std::size_t count_cells(std::size_t members, const layout_settings& settings) {
    std::size_t cells = 1;
    while (members > settings.max_single_cell_members && members > cells * settings.max_cell_members) {
        cells *= 2;
    }
    return cells;
}

// Cells are contiguous in the sorted order of the members, so that their sizes differ by at most one and they
// mostly lie within one failure domain.
std::size_t first_member_of(std::size_t cell, std::size_t cells, std::size_t members) {
    return (cell * members + cells - 1) / cells;
}

} // namespace

fleet_layout plan_layout(std::vector<std::pair<std::string, std::string>> members, const std::string& self,
                         const layout_settings& settings) {
    std::sort(members.begin(), members.end());
    const auto self_position = std::find_if(members.begin(), members.end(),
                                            [&self](const auto& member) { return member.second == self; });
    const auto rank = std::size_t(self_position - members.begin());
    fleet_layout layout;
    layout.cells = count_cells(members.size(), settings);
    layout.cell = rank * layout.cells / members.size();
    const auto first = first_member_of(layout.cell, layout.cells, members.size());
    const auto last = first_member_of(layout.cell + 1, layout.cells, members.size());
    for (auto i = first; i < last; ++i) {
        if (i != rank) {
            layout.cell_peers.push_back(members.at(i).second);
        }
    }
    // Links lead to the member at the same position in the cells at distances 1, 2, 4 and so on. They go in
    // both directions, so that most links are used from both ends, which the clock echoes require.
    const auto add_link = [&](std::size_t cell) {
        const auto begin = first_member_of(cell, layout.cells, members.size());
        const auto size = first_member_of(cell + 1, layout.cells, members.size()) - begin;
        const auto& id = members.at(begin + (rank - first) % size).second;
        if (std::find(layout.links.begin(), layout.links.end(), id) == layout.links.end()) {
            layout.links.push_back(id);
        }
    };
    for (std::size_t distance = 1; distance < layout.cells; distance *= 2) {
        add_link((layout.cell + distance) % layout.cells);
        add_link((layout.cell + layout.cells - distance) % layout.cells);
    }
    return layout;
}

fleet_layout plan_layout(const membership& known, const health_timeouts& timeouts, core::steady_time now,
                         const layout_settings& settings) {
    std::vector<std::pair<std::string, std::string>> members;
    for (const auto& [id, record] : known.members) {
        const bool is_included = record.entry.state != member_state::left &&
                                 health_of(known, record, timeouts, now) != member_health::failed;
        if (is_included || id == known.self) {
            members.emplace_back(record.entry.failure_domain, id);
        }
    }
    return plan_layout(std::move(members), known.self, settings);
}

// With hops of powers of two in both directions, the number of hops is at most half the number of binary
// digits of the cell count, rounded up (non-adjacent form).
std::size_t max_cell_hops(std::size_t cells) {
    std::size_t bits = 0;
    while ((std::size_t(1) << bits) < cells) {
        ++bits;
    }
    return cells == 1 ? 0 : bits / 2 + bits % 2;
}

} // namespace figspoke::state
