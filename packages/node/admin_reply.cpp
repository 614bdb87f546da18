#include "node/admin_reply.h"

#include <algorithm>
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "node/error_reply.h"
#include "node/new_work.h"
#include "node/shutdown.h"
#include "state/store_position.h"

namespace figspoke::node {
namespace {

using adapters::http_exchange;
using nlohmann::json;
using clock = std::chrono::steady_clock;

std::string_view service_name(state::service_decision decision) {
    switch (decision) {
    case state::service_decision::serve_fresh:
        return "fresh";
    case state::service_decision::serve_majority:
        return "majority";
    case state::service_decision::isolated:
        break;
    }
    return "isolated";
}

std::string_view state_name(state::member_state value) {
    constexpr std::array<std::string_view, 4> names = {"joining", "serving", "leaving", "left"};
    return names.at(static_cast<std::size_t>(value));
}

json render_members(node_state& node) {
    json members = json::array();
    const auto now = clock::now();
    const std::lock_guard lock(node.nodes.mutex);
    for (const auto& [id, member] : node.nodes.known.members) {
        const auto silence = core::to_ms(now - member.last_advanced).count();
        members.push_back({{"id", id},
                           {"address", member.entry.http_address},
                           {"failure_domain", member.entry.failure_domain},
                           {"state", state_name(member.entry.state)},
                           {"silent_ms", id == node.nodes.known.self ? 0 : silence},
                           {"table_revision", state::unpack_position(member.entry.table_revision).revision},
                           {"load_percent", member.entry.load}});
    }
    return members;
}

json render_charges(node_state& node) {
    const std::lock_guard lock(node.charges.mutex);
    return {{"unsettled", node.charges.held.charges},
            {"reserved", node.charges.held.reserved},
            {"copies", node.charges.copies.count}};
}

json render_admission(node_state& node) {
    const std::lock_guard lock(node.admission.mutex);
    return {{"capacity", node.admission.queue.capacity},
            {"running", node.admission.queue.running.size()},
            {"waiting", policy::waiting_count(node.admission.queue)}};
}

json render_return(const table_return& gone_back) {
    json lost = json::array();
    for (const auto& change : gone_back.lost) {
        lost.push_back({{"revision", change.revision},
                        {"action", change.action},
                        {"kind", change.key.kind},
                        {"name", change.key.name},
                        {"author", change.author},
                        {"edit_id", change.edit_id}});
    }
    return {{"from_revision", gone_back.from_revision},
            {"to_revision", gone_back.to_revision},
            {"lost", std::move(lost)}};
}

json render_returns(const config_table& config) {
    const std::lock_guard lock(config.mutex);
    json returns = {{"count", config.return_count}};
    if (config.last_return) {
        returns["last"] = render_return(*config.last_return);
    }
    return returns;
}

void serve_status(node_state& node, http_exchange& exchange) {
    const json status = {{"id", node.settings.node.id},
                         {"failure_domain", node.settings.node.failure_domain},
                         {"address", node.advertised_address},
                         {"draining", node.draining.load()},
                         {"service", service_name(decide_service(node.nodes, clock::now()))},
                         {"table_revision", current_revision(node.config)},
                         {"store_returns", render_returns(node.config)},
                         {"shards", held_shard_count(node.journal)},
                         {"charges", render_charges(node)},
                         {"admission", render_admission(node)},
                         {"members", render_members(node)}};
    exchange.send(json_reply(status.dump()));
}

void withhold_confirmation(edit_progress& progress, const std::string& id) {
    progress.accepted = false;
    auto& confirmed = progress.confirmed;
    const auto found = std::find(confirmed.begin(), confirmed.end(), id);
    if (found != confirmed.end()) {
        confirmed.erase(found);
        progress.waiting_for.push_back(id);
    }
}

// `age_ms` tells how long ago the operator's tool stored the revision. With `edit_id` this node confirms only
// a table that holds the edit: after a loss in the key-value service its revision may be of another one.
void serve_edit(node_state& node, http_exchange& exchange) {
    const auto& query = exchange.request().query;
    const auto number = [&](const char* name) {
        const auto found = query.find(name);
        return found == query.end() ? 0ULL : std::strtoull(found->second.c_str(), nullptr, 10);
    };
    const auto now = clock::now();
    const auto stored_at = now - std::chrono::milliseconds(std::min(number("age_ms"), 3600000ULL));
    const auto era = state::unpack_position(current_table(node.config).position).era;
    const auto position = state::pack_position({era, number("revision")});
    auto progress = edit_progress_of(node.nodes, position, stored_at, now);
    const auto edit_id = query.find("edit_id");
    if (edit_id != query.end() && !edit_id->second.empty() &&
        !holds_edit(node.config, number("revision"), edit_id->second)) {
        withhold_confirmation(progress, node.settings.node.id);
    }
    const json body = {{"accepted", progress.accepted},
                       {"confirmed", progress.confirmed},
                       {"waiting_for", progress.waiting_for}};
    exchange.send(json_reply(body.dump()));
}

void serve_ready(node_state& node, http_exchange& exchange) {
    const auto refusal = refusal_of_new_work(node);
    if (!refusal && held_shard_count(node.journal) == owned_shard_count(node.journal) && !node.draining) {
        exchange.send(json_reply(R"({"ready":true})"));
        return;
    }
    exchange.send(error_reply(refusal.value_or(
        core::error{core::error_kind::draining, "this node is starting or stopping", std::nullopt})));
}

void update_gauges(node_state& node) {
    node.metrics.set("figspoke_table_revision", {}, static_cast<double>(current_revision(node.config)));
    node.metrics.set("figspoke_shards", {}, static_cast<double>(held_shard_count(node.journal)));
    const auto charges = render_charges(node);
    node.metrics.set("figspoke_unsettled_charges", {}, charges["unsettled"].get<double>());
    node.metrics.set("figspoke_charge_copies", {}, charges["copies"].get<double>());
    const auto admission = render_admission(node);
    node.metrics.set("figspoke_admission_running", {}, admission["running"].get<double>());
    node.metrics.set("figspoke_admission_waiting", {}, admission["waiting"].get<double>());
    const auto counters = node.nodes.mesh->counters();
    node.metrics.set("figspoke_mesh_bytes_out", {}, static_cast<double>(counters.bytes_out));
    node.metrics.set("figspoke_mesh_bytes_in", {}, static_cast<double>(counters.bytes_in));
}

} // namespace

bool serve_operator(node_state& node, http_exchange& exchange) {
    const auto& request = exchange.request();
    if (request.path == "/healthz") {
        exchange.send(json_reply(R"({"alive":true})"));
    } else if (request.path == "/readyz") {
        serve_ready(node, exchange);
    } else if (request.path == "/metrics") {
        update_gauges(node);
        exchange.send({200, {{"content-type", "text/plain; version=0.0.4"}}, node.metrics.render()});
    } else if (request.path == "/admin/status") {
        serve_status(node, exchange);
    } else if (request.path == "/admin/edit") {
        serve_edit(node, exchange);
    } else if (request.path == "/admin/drain" && request.method == "POST") {
        begin_shutdown(node);
        exchange.send(json_reply(R"({"draining":true})"));
    } else {
        return false;
    }
    return true;
}

} // namespace figspoke::node
