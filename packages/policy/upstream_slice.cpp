#include "policy/upstream_slice.h"

#include <algorithm>
#include <tuple>

#include "policy/slice_count.h"

namespace figspoke::policy {

// Members are laid out by failure domain, and so are the upstreams: most of a cell's upstreams lie in the
// failure domain of its nodes.
std::map<std::string, std::size_t> plan_slices(std::vector<sliced_upstream> upstreams,
                                               const slice_place& place, const slice_settings& settings) {
    std::sort(upstreams.begin(), upstreams.end(), [](const sliced_upstream& a, const sliced_upstream& b) {
        return std::tie(a.group, a.failure_domain, a.id) < std::tie(b.group, b.failure_domain, b.id);
    });
    std::map<std::string, std::size_t> used;
    for (std::size_t first = 0; first < upstreams.size();) {
        auto last = first;
        while (last < upstreams.size() && upstreams[last].group == upstreams[first].group) {
            ++last;
        }
        const auto slices = slice_count(last - first, place.cells, settings.least);
        const auto slice = place.cell * slices / place.cells;
        const auto begin = first + slice * (last - first) / slices;
        const auto end = first + (slice + 1) * (last - first) / slices;
        for (auto i = begin; i < end; ++i) {
            used[upstreams[i].id] = std::max<std::size_t>(place.members / slices, 1);
        }
        first = last;
    }
    return used;
}

} // namespace figspoke::policy
