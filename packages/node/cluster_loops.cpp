#include "node/cluster_loops.h"

#include <algorithm>
#include <ctime>

#include <boost/asio/spawn.hpp>

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "node/evidence_loops.h"
#include "node/journal_routing.h"
#include "node/node_state.h"
#include "node/table_watch.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds roster_period{1000};
constexpr const char* roster_key = "figspoke/members";

void send_all(node_state& node, std::vector<outgoing_message> messages) {
    for (auto& message : messages) {
        node.nodes.mesh->send(message.peer, std::move(message.message));
    }
}

void serve_table_get(node_state& node, const std::string& peer, std::uint64_t known_position) {
    const auto table = current_table(node.config);
    if (table.encoded && table.position > known_position) {
        node.nodes.mesh->send(peer, adapters::table_message{table.position, *table.encoded});
    }
}

void serve_roster_get(node_state& node, const std::string& peer) {
    adapters::roster_message reply;
    {
        const std::lock_guard lock(node.nodes.mutex);
        reply = {node.nodes.roster.version, node.nodes.roster_text};
    }
    if (!reply.text.empty()) {
        node.nodes.mesh->send(peer, reply);
    }
}

void handle_message(node_state& node, const adapters::mesh_delivery& delivery) {
    if (std::holds_alternative<adapters::digest_message>(delivery.message)) {
        send_all(node, handle_digest(node.nodes, delivery, clock::now()));
    } else if (const auto* table = std::get_if<adapters::table_message>(&delivery.message)) {
        put_peer_table_in_force(node, table->revision, table->text);
    } else if (const auto* get = std::get_if<adapters::table_get_message>(&delivery.message)) {
        serve_table_get(node, delivery.from, get->revision);
    } else if (const auto* roster = std::get_if<adapters::roster_message>(&delivery.message)) {
        apply_roster(node.nodes, roster->text);
    } else if (std::holds_alternative<adapters::roster_get_message>(delivery.message)) {
        serve_roster_get(node, delivery.from);
    } else if (const auto* report = std::get_if<adapters::report_message>(&delivery.message)) {
        receive_evidence(node, report->body);
    }
}

void handle_request(node_state& node, const adapters::mesh_request& request,
                    const adapters::mesh_reply& reply) {
    if (request.method == "append") {
        serve_append(node, request.body, [reply](const std::string& outcome) { reply(outcome); });
    } else if (request.method == "charge_copy") {
        if (keep_charge_copy(node, request.body)) {
            reply(std::string("kept"));
        } else {
            reply(tl::make_unexpected(std::string("no room for the copy")));
        }
    } else if (request.method == "charge_drop") {
        drop_charge_copies(node, request.body);
        reply(std::string());
    } else if (request.method == "keyed_begin") {
        reply(serve_keyed_begin(node, request.from, request.body));
    } else if (request.method == "rate_demand") {
        reply(serve_rate_demand(node, request.body));
    } else if (request.method == "keyed_fetch") {
        reply(serve_keyed_fetch(node, request.body));
    } else {
        reply(tl::make_unexpected("method " + request.method + " does not exist"));
    }
}

std::uint8_t load_percent(node_state& node) {
    const std::lock_guard lock(node.admission.mutex);
    const double capacity = std::max(1.0, node.admission.queue.capacity);
    const double used = static_cast<double>(node.admission.queue.running.size()) +
                        static_cast<double>(policy::waiting_count(node.admission.queue));
    return static_cast<std::uint8_t>(std::min(255.0, 100.0 * used / capacity));
}

state::member_state own_state(const node_state& node) {
    if (node.stopped.load()) {
        return state::member_state::left;
    }
    if (node.draining.load()) {
        return state::member_state::leaving;
    }
    return current_config(node.config) ? state::member_state::serving : state::member_state::joining;
}

void refresh_self(node_state& node) {
    const auto load = load_percent(node);
    const auto now = clock::now();
    const std::lock_guard lock(node.nodes.mutex);
    const auto& own = state::self_entry(node.nodes.known);
    state::update_self(
        node.nodes.known,
        {own_state(node), node.nodes.freshness.revision, node.nodes.roster.version, load, own.payload}, now);
}

void gossip_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        gossip_now(node);
        node.nodes.mesh->set_links(wanted_links(node.nodes, node.settings.mesh.seeds, clock::now()));
        update_owned_shards(node);
        std::chrono::milliseconds period{};
        {
            const std::lock_guard lock(node.nodes.mutex);
            period = node.nodes.plan.send_period;
        }
        adapters::sleep_for(period, yield);
    }
}

void pause_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        std::optional<core::milliseconds> pause;
        {
            const std::lock_guard lock(node.nodes.mutex);
            pause = state::record_tick(node.nodes.pauses, clock::now());
        }
        if (pause) {
            adapters::log_warning("paused", "the process did not run for " + std::to_string(pause->count()) +
                                                " ms; table and shards are checked again");
        }
        adapters::sleep_for(state::pause_check_interval, yield);
    }
}

bool records_roster(node_state& node) {
    const auto serving = serving_members(node.nodes, clock::now());
    const auto& members = *serving;
    return !members.empty() && members.front().id == node.settings.node.id;
}

// Returns the held roster if the key-value service holds an older one or none: it came back from an older
// copy.
std::optional<std::string> roster_to_record_again(node_state& node, const std::string& recorded) {
    const auto decoded = state::decode_roster(recorded);
    const std::lock_guard lock(node.nodes.mutex);
    const std::uint64_t version = decoded ? decoded->version : 0;
    return version < node.nodes.roster.version ? std::optional(node.nodes.roster_text) : std::nullopt;
}

// Reads the recorded roster and, on the one node that records it, writes the next one by compare-and-swap.
void update_roster(node_state& node, const yield_context& yield) {
    const auto read = node.kv.get(roster_key, yield);
    if (read) {
        apply_roster(node.nodes, read->text);
    } else if (read.error().kind != adapters::kv_error_kind::not_found) {
        return;
    }
    if (const auto lost = roster_to_record_again(node, read ? read->text : "")) {
        const auto written = node.kv.compare_and_swap(roster_key, *lost, read ? read->version : 0, "", yield);
        if (written) {
            adapters::log_warning("roster_recorded_again", "the key-value service held an older roster");
        }
        return;
    }
    std::optional<state::roster> next;
    {
        const std::lock_guard lock(node.nodes.mutex);
        const auto now = clock::now();
        next = state::next_roster({node.nodes.known, node.nodes.roster, node.nodes.gone,
                                   node.nodes.plan.timeouts,
                                   state::observations_valid_since(node.nodes.pauses, now)},
                                  now);
    }
    if (next) {
        const auto text = state::encode_roster(*next);
        if (node.kv.compare_and_swap(roster_key, text, read ? read->version : 0, "", yield)) {
            apply_roster(node.nodes, text);
        }
    }
}

void roster_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        if (records_roster(node)) {
            update_roster(node, yield);
        }
        adapters::sleep_for(roster_period, yield);
    }
}

void spawn_loop(node_state& node, void (*loop)(node_state&, const yield_context&)) {
    adapters::spawn_coroutine(node.context, [&node, loop](const yield_context& yield) { loop(node, yield); });
}

std::string with_port(const std::string& address, unsigned short port) {
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

state::member_entry make_self(const node_state& node, unsigned short mesh_port) {
    state::member_entry self;
    self.id = node.settings.node.id;
    self.http_address = node.advertised_address;
    self.mesh_address = with_port(node.settings.mesh.listen, mesh_port);
    self.failure_domain = node.settings.node.failure_domain;
    // A later start of the same node needs a higher number. Where the clock went back meanwhile, the news of
    // the earlier incarnation that peers send raises it.
    self.incarnation = static_cast<std::uint64_t>(std::time(nullptr));
    self.payload["run"] = node.incarnation.substr(node.incarnation.find('/') + 1);
    return self;
}

} // namespace

void gossip_now(node_state& node) {
    refresh_self(node);
    send_all(node, build_digests(node.nodes, clock::now()));
}

void start_cluster(node_state& node) {
    node.nodes.started = clock::now();
    node.nodes.mesh =
        adapters::mesh_builder()
            .node_id(node.settings.node.id)
            .listen_address(node.settings.mesh.listen)
            .secret(node.secrets.mesh_secret)
            .on_message([&node](const adapters::mesh_delivery& delivery) { handle_message(node, delivery); })
            .on_request([&node](const adapters::mesh_request& request, const adapters::mesh_reply& reply) {
                handle_request(node, request, reply);
            })
            .on_link([&node](const adapters::mesh_link_event& event) { handle_link(node.nodes, event); })
            .build(node.context);
    node.nodes.known = state::make_membership(make_self(node, node.nodes.mesh->port()), clock::now());
    spawn_loop(node, gossip_loop);
    spawn_loop(node, pause_loop);
    spawn_loop(node, roster_loop);
    spawn_loop(node, table_loop);
}

} // namespace figspoke::node
