#include "policy/upstream_subset.h"

#include <algorithm>

#include "core/hash.h"
#include "policy/subset_count.h"

namespace figspoke::policy {
namespace {

void sort_by_hash(std::vector<std::string>& names, const std::string& salt) {
    std::sort(names.begin(), names.end(), [&](const std::string& a, const std::string& b) {
        const auto hash_a = core::stable_hash(salt + a);
        const auto hash_b = core::stable_hash(salt + b);
        return hash_a != hash_b ? hash_a < hash_b : a < b;
    });
}

} // namespace

std::vector<std::string> upstream_subset(const core::config_snapshot& config, const std::string& version,
                                         const std::string& node, const std::vector<std::string>& members,
                                         const subset_settings& settings) {
    std::vector<std::string> names;
    for (const auto& [name, upstream] : config.upstreams) {
        if (std::find(upstream.versions.begin(), upstream.versions.end(), version) !=
            upstream.versions.end()) {
            names.push_back(name);
        }
    }
    auto nodes = members;
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) {
        nodes.push_back(node);
    }
    const auto slices =
        subset_count(names.size(), nodes.size(), std::max<std::size_t>(settings.min_upstreams, 1));
    sort_by_hash(names, version + '\n');
    sort_by_hash(nodes, version + '\n');
    const auto rank = static_cast<std::size_t>(std::find(nodes.begin(), nodes.end(), node) - nodes.begin());
    const auto slice = rank * slices / nodes.size();
    const auto slice_begin = [&](std::size_t index) {
        return names.begin() + static_cast<std::ptrdiff_t>(index * names.size() / slices);
    };
    return {slice_begin(slice), slice_begin(slice + 1)};
}

} // namespace figspoke::policy
