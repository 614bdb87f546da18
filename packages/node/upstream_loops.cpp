#include "node/upstream_loops.h"

#include <boost/asio/spawn.hpp>

#include "adapters/await.h"
#include "adapters/upstream_reports.h"
#include "node/node_state.h"
#include "policy/upstream_subset.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds report_period{500};
constexpr std::chrono::milliseconds report_timeout{1000};

std::set<std::string> choose_used_upstreams(node_state& node, const core::config_snapshot& config) {
    std::vector<std::string> members;
    const auto serving = serving_members(node.nodes, clock::now());
    for (const auto& member : *serving) {
        members.push_back(member.id);
    }
    const policy::subset_settings limits{
        static_cast<std::size_t>(node.settings.policy.upstreams_per_version)};
    std::set<std::string> used;
    for (const auto& [id, version] : config.versions) {
        for (auto& name : policy::upstream_subset(config, id, node.settings.node.id, members, limits)) {
            used.insert(std::move(name));
        }
    }
    for (const auto& [name, upstream] : config.upstreams) {
        if (!upstream.services.empty()) {
            used.insert(name);
        }
    }
    return used;
}

void apply_load(node_state& node, const std::string& name, const adapters::upstream_load_report& report,
                core::steady_time received_at) {
    const std::lock_guard lock(node.upstreams.mutex);
    node.upstreams.entries[name].report = {report.running, report.waiting, received_at - report.age};
}

void apply_events(node_state& node, const std::string& name, const adapters::cache_event_page& page) {
    const std::lock_guard lock(node.upstreams.mutex);
    node.upstreams.entries[name].next_event = page.next;
    for (const auto& event : page.events) {
        policy::record_cache_event(node.upstreams.hints, name, event.prefix, event.cached, clock::now());
    }
}

std::uint64_t next_event_of(node_state& node, const std::string& name) {
    const std::lock_guard lock(node.upstreams.mutex);
    return node.upstreams.entries[name].next_event;
}

// Each upstream is read by a coroutine of its own, so that a slow one delays no other.
void read_reports(node_state& node, const core::upstream& upstream, const yield_context& yield) {
    const auto load = node.reports.read_load(upstream.address, yield);
    if (load) {
        apply_load(node, upstream.name, *load, clock::now());
    }
    if (!load || upstream.versions.empty()) {
        return;
    }
    const auto events = node.reports.read_events(upstream.address, next_event_of(node, upstream.name), yield);
    if (events) {
        apply_events(node, upstream.name, *events);
    }
}

void spawn_reads(node_state& node, const core::config_snapshot& config, const std::set<std::string>& used) {
    for (const auto& name : used) {
        const auto found = config.upstreams.find(name);
        if (found == config.upstreams.end()) {
            continue;
        }
        adapters::spawn_coroutine(node.context,
                                  [&node, upstream = found->second](const yield_context& yield) {
                                      read_reports(node, upstream, yield);
                                  });
    }
}

void report_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        if (const auto config = current_config(node.config)) {
            auto used = choose_used_upstreams(node, *config);
            spawn_reads(node, *config, used);
            const std::lock_guard lock(node.upstreams.mutex);
            for (const auto& name : used) {
                node.upstreams.health.upstreams.try_emplace(name);
            }
            node.upstreams.used = std::move(used);
        }
        adapters::sleep_for(report_period, yield);
    }
}

} // namespace

void start_upstream_reports(node_state& node) {
    node.reports = adapters::make_upstream_reports(node.client, report_timeout);
    adapters::spawn_coroutine(node.context,
                              [&node](const yield_context& yield) { report_loop(node, yield); });
}

} // namespace figspoke::node
