#include "state/fleet_layout.h"

#include <algorithm>

namespace figspoke::state {
namespace {

// A power of two, so that the number of cells rarely changes as members come and go.
std::size_t count_cells(std::size_t members, const layout_settings& settings) {
    std::size_t cells = 1;
    while (members > settings.whole_members && members > cells * settings.cell_members) {
        cells *= 2;
    }
    return cells;
}

// Cells are contiguous in the order of the members, so that they hold equal numbers and mostly lie within one
// failure domain.
std::size_t first_of(std::size_t cell, std::size_t cells, std::size_t members) {
    return (cell * members + cells - 1) / cells;
}

} // namespace

fleet_layout plan_layout(std::vector<std::pair<std::string, std::string>> members, const std::string& self,
                         const layout_settings& settings) {
    std::sort(members.begin(), members.end());
    const auto own = std::find_if(members.begin(), members.end(),
                                  [&self](const auto& member) { return member.second == self; });
    const auto rank = std::size_t(own - members.begin());
    fleet_layout layout;
    layout.cells = count_cells(members.size(), settings);
    layout.cell = rank * layout.cells / members.size();
    const auto first = first_of(layout.cell, layout.cells, members.size());
    const auto last = first_of(layout.cell + 1, layout.cells, members.size());
    for (auto i = first; i < last; ++i) {
        if (i != rank) {
            layout.mates.push_back(members.at(i).second);
        }
    }
    // Links lead to the members at the same position in the cells at distances 1, 2, 4 and so on, in both
    // directions, so that most links are used from both ends, as the echoes of clocks need.
    const auto add_link = [&](std::size_t cell) {
        const auto begin = first_of(cell, layout.cells, members.size());
        const auto size = first_of(cell + 1, layout.cells, members.size()) - begin;
        const auto& id = members.at(begin + (rank - first) % size).second;
        if (std::find(layout.links.begin(), layout.links.end(), id) == layout.links.end()) {
            layout.links.push_back(id);
        }
    };
    for (std::size_t step = 1; step < layout.cells; step *= 2) {
        add_link((layout.cell + step) % layout.cells);
        add_link((layout.cell + layout.cells - step) % layout.cells);
    }
    return layout;
}

fleet_layout plan_layout(const membership& known, const health_timeouts& timeouts, core::steady_time now,
                         const layout_settings& settings) {
    std::vector<std::pair<std::string, std::string>> members;
    for (const auto& [id, record] : known.members) {
        const bool counts = record.entry.state != member_state::left &&
                            health_of(known, record, timeouts, now) != member_health::failed;
        if (counts || id == known.self) {
            members.emplace_back(record.entry.failure_domain, id);
        }
    }
    return plan_layout(std::move(members), known.self, settings);
}

// In steps of powers of two in both directions, a distance is a sum of at most half as many of them as its
// number has digits, and one more.
std::size_t longest_path(std::size_t cells) {
    std::size_t digits = 0;
    while ((std::size_t(1) << digits) < cells) {
        ++digits;
    }
    return cells == 1 ? 0 : digits / 2 + digits % 2;
}

} // namespace figspoke::state
