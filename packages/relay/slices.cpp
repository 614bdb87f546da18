#include "relay/slices.h"

#include <algorithm>

#include "policy/upstream_slice.h"

namespace figspoke::relay {
namespace {

std::string group_of(const state::upstream_entry& entry) {
    auto models = entry.models;
    std::sort(models.begin(), models.end());
    std::string group = entry.service + '\n' + entry.version;
    for (const auto& model : models) {
        group += '\n' + model;
    }
    return group;
}

} // namespace

void plan_slices(relay_state& node) {
    const auto& layout = node.peers->layout();
    if (layout.cells == 1) {
        node.own_slice.clear();
        return;
    }
    std::vector<policy::sliced_upstream> upstreams;
    for (const auto& [id, record] : node.registry.upstreams) {
        if (!record.entry.draining) {
            upstreams.push_back({id, record.entry.failure_domain, group_of(record.entry)});
        }
    }
    node.own_slice =
        policy::plan_slices(std::move(upstreams), {layout.cells, layout.cell, node.peers->size()}, {});
}

bool in_own_slice(const relay_state& node, const std::string& upstream) {
    return node.own_slice.empty() || node.own_slice.count(upstream) > 0;
}

std::size_t sharers_of(const relay_state& node, const std::string& upstream) {
    const auto found = node.own_slice.find(upstream);
    return std::max<std::size_t>(found == node.own_slice.end() ? node.peers->size() : found->second, 1);
}

} // namespace figspoke::relay
