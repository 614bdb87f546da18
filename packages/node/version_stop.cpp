#include "node/version_stop.h"

#include <nlohmann/json.hpp>

#include "adapters/decision_log.h"
#include "core/table_edit.h"
#include "node/node_state.h"
#include "node/table_watch.h"

namespace figspoke::node {
namespace {

using clock = std::chrono::steady_clock;

bool writes_stops(node_state& node) {
    const auto serving = serving_members(node.nodes, clock::now());
    const auto& members = *serving;
    return !members.empty() && members.front().id == node.settings.node.id;
}

core::result<core::table> withdraw(const core::table& current, const policy::version_stop& stop) {
    const core::row_key key{"version", stop.version};
    const auto found = current.rows.find(key);
    if (found == current.rows.end()) {
        return current;
    }
    auto columns = found->second.columns;
    for (const auto& [name, value] : stop.columns) {
        columns[name] = value;
    }
    return core::apply_edits(current, {{key, found->second.revision, columns}},
                             {"figspoke (sequential test)", core::random_hex(8)});
}

void log_stop(const policy::version_stop& stop, std::uint64_t revision) {
    const nlohmann::json line = {{"level", "info"},           {"event", "version_stop"},
                                 {"version", stop.version},   {"stable", stop.stable},
                                 {"reason", stop.reason},     {"log_likelihood_ratio", stop.ratio},
                                 {"table_revision", revision}};
    adapters::log_decision(line.dump());
}

// A conflict or a lost reply is left to the next step: the test then finds the version stopped or tries
// again.
void write_stop(node_state& node, const policy::version_stop& stop, const boost::asio::yield_context& yield) {
    const auto known_at_read = known_position(node);
    const auto read = node.kv.get(table_key, yield);
    if (!read || !put_stored_table_in_force(node, known_at_read, read->text)) {
        return;
    }
    const auto current = core::decode_table(read->text);
    const auto next = current ? withdraw(*current, stop) : current;
    if (!next || next->revision == current->revision) {
        return;
    }
    const auto encoded = core::encode_table(*next);
    const auto known_at_write = known_position(node);
    if (node.kv.compare_and_swap(table_key, encoded, read->version, "", yield)) {
        log_stop(stop, next->revision);
        put_stored_table_in_force(node, known_at_write, encoded);
    }
}

} // namespace

void stop_bad_versions(node_state& node, const boost::asio::yield_context& yield) {
    const auto config = current_config(node.config);
    if (!config) {
        return;
    }
    std::vector<policy::version_stop> stops;
    {
        const std::lock_guard lock(node.evidence.mutex);
        stops = policy::update_sequential_test(node.evidence.sequential, {}, *config, node.evidence.versions,
                                               clock::now());
    }
    if (stops.empty() || !writes_stops(node)) {
        return;
    }
    for (const auto& stop : stops) {
        write_stop(node, stop, yield);
    }
}

} // namespace figspoke::node
