#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unistd.h>

#include "adapters/mesh.h"
#include "adapters/mesh_codec.h"
#include "state/gossip_plan.h"
#include "state/link_choice.h"
#include "state/member_digest.h"

// Cost of mesh and membership: the pure cost of digests at up to 380 members, then that of real meshes on
// loopback, all in this process and on one thread. Where a fleet has more members than nodes, each node also
// beats its part of the other members, so that digests carry as much as in a fleet of that size; a node has
// the same number of links there. `mesh_cost [SECONDS]`.

using namespace figspoke;
using namespace figspoke::adapters;
using namespace figspoke::state;
using namespace std::chrono_literals;

namespace {

constexpr auto warm_up = 3s;

core::steady_time steady_now() {
    return std::chrono::steady_clock::now();
}

double cpu_seconds() {
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return double(time.tv_sec) + double(time.tv_nsec) * 1e-9;
}

double resident_kb() {
    std::ifstream file("/proc/self/statm");
    long size = 0;
    long resident = 0;
    file >> size >> resident;
    return double(resident) * double(sysconf(_SC_PAGESIZE)) / 1024;
}

void print(const std::string& measure, double value, const char* unit) {
    std::printf("measure=%s baseline=- figspoke=%.4g unit=%s\n", measure.c_str(), value, unit);
}

member_entry make_entry(std::size_t i) {
    member_entry entry;
    entry.id = "node-" + std::to_string(i);
    entry.failure_domain = "zone-" + std::to_string(i % 5);
    entry.http_address = "10.0.0." + std::to_string(i % 250) + ":8080";
    entry.mesh_address = "10.0.0." + std::to_string(i % 250) + ":9090";
    entry.incarnation = 1764820800;
    entry.state = member_state::serving;
    return entry;
}

// One beat of every member, as a node with two links relays it: built, encoded, decoded and merged.
void measure_pure(std::size_t members) {
    constexpr int rounds = 200;
    auto now = steady_now();
    auto known = make_membership(make_entry(0), now);
    auto other = make_membership(make_entry(1), now);
    for (std::size_t i = 2; i < members; ++i) {
        merge_entry(known, make_entry(i), 0ms, now);
    }
    digest_link out;
    digest_link in;
    table_freshness freshness;
    double full = 0;
    double bytes = 0;
    double build = 0;
    double merge = 0;
    for (int round = 0; round <= rounds; ++round) {
        now += 1s;
        advance_heartbeat(known, now);
        for (std::size_t i = 2; round > 0 && i < members; ++i) {
            auto entry = known.members.at("node-" + std::to_string(i)).entry;
            ++entry.heartbeat;
            entry.load = std::uint8_t(i * unsigned(round / 4) % 100);
            merge_entry(known, entry, 0ms, now);
        }
        const double begun = cpu_seconds();
        const auto text =
            encode_message("node-0", digest_message{build_digest(out, known, freshness, {}, now)});
        const double built = cpu_seconds();
        const auto decoded = decode_message(text);
        receive_digest(in, std::get<digest_message>(decoded->message).digest, other, freshness, now);
        const double merged = cpu_seconds();
        if (round == 0) {
            full = double(text.size());
            continue;
        }
        build += built - begun;
        merge += merged - built;
        bytes += double(text.size());
    }
    const auto name = "digest_" + std::to_string(members) + "_members_";
    print(name + "full", full, "bytes");
    print(name + "bytes", bytes / rounds, "bytes");
    print(name + "build_encode", build / rounds * 1e6, "us");
    print(name + "decode_merge", merge / rounds * 1e6, "us");
}

struct cost_node {
    membership known;
    table_freshness freshness;
    gossip_plan plan;
    std::map<std::uint64_t, std::pair<std::string, digest_link>> links;
    std::unique_ptr<mesh> peers;
    std::unique_ptr<boost::asio::steady_timer> timer;
    core::steady_time next_beat;
    std::size_t linked_for = 0;
    std::vector<member_entry> simulated;
};

void take_message(cost_node& node, const mesh_delivery& delivery) {
    const auto found = node.links.find(delivery.link);
    const auto* digest = std::get_if<digest_message>(&delivery.message);
    if (digest != nullptr && found != node.links.end()) {
        receive_digest(found->second.second, digest->digest, node.known, node.freshness, steady_now());
    }
}

void take_link(cost_node& node, const mesh_link_event& event) {
    if (event.up && event.standing) {
        node.links[event.link].first = event.peer;
    } else {
        node.links.erase(event.link);
    }
}

void choose_peers(cost_node& node) {
    std::vector<const member_entry*> candidates;
    for (const auto& [id, record] : node.known.members) {
        if (!record.entry.mesh_address.empty()) {
            candidates.push_back(&record.entry);
        }
    }
    if (node.linked_for == candidates.size()) {
        return;
    }
    node.linked_for = candidates.size();
    std::vector<mesh_peer> peers;
    for (const auto& id : choose_links(self_entry(node.known), candidates)) {
        peers.push_back({id, node.known.members.at(id).entry.mesh_address});
    }
    node.peers->set_links(peers);
}

void gossip(cost_node& node) {
    const auto now = steady_now();
    node.plan = plan_gossip(node.known.members.size(), node.links.size());
    if (now >= node.next_beat) {
        node.next_beat = now + node.plan.heartbeat_period;
        self_update update{member_state::serving, 0, 0, std::uint8_t(std::rand() % 100), {}};
        update_self(node.known, update, now);
        advance_heartbeat(node.known, now);
        record_table_read(node.freshness, 0, now);
        for (auto& entry : node.simulated) {
            ++entry.heartbeat;
            entry.load = std::uint8_t(std::rand() % 100);
            merge_entry(node.known, entry, 0ms, now);
        }
    }
    choose_peers(node);
    for (auto& [id, link] : node.links) {
        node.peers->send(link.first, digest_message{build_digest(link.second, node.known, node.freshness,
                                                                 node.plan.timeouts, now)});
    }
    node.timer->expires_after(node.plan.send_period);
    node.timer->async_wait([&node](const boost::system::error_code& code) {
        if (!code) {
            gossip(node);
        }
    });
}

void start_node(cost_node& node, std::size_t i, boost::asio::io_context& context) {
    mesh_builder builder;
    builder.node_id("node-" + std::to_string(i)).listen_address("127.0.0.1:0").secret("secret");
    builder.on_message([&node](const mesh_delivery& delivery) { take_message(node, delivery); });
    builder.on_link([&node](const mesh_link_event& event) { take_link(node, event); });
    node.peers = builder.build(context);
    auto entry = make_entry(i);
    entry.mesh_address = "127.0.0.1:" + std::to_string(node.peers->port());
    node.known = make_membership(entry, steady_now());
    node.timer = std::make_unique<boost::asio::steady_timer>(context);
}

mesh_counters total(const std::vector<std::unique_ptr<cost_node>>& nodes) {
    mesh_counters sum;
    for (const auto& node : nodes) {
        const auto counters = node->peers->counters();
        sum.bytes_in += counters.bytes_in;
        sum.bytes_out += counters.bytes_out;
        sum.messages_out += counters.messages_out;
    }
    return sum;
}

std::size_t alive_seen(const std::vector<std::unique_ptr<cost_node>>& nodes) {
    std::size_t least = nodes.front()->known.members.size();
    for (const auto& node : nodes) {
        least = std::min(least, serving_members(node->known, node->plan.timeouts, steady_now()).size());
    }
    return least;
}

void measure_fleet(std::size_t count, std::size_t members, std::chrono::seconds time) {
    const double memory_before = resident_kb();
    boost::asio::io_context context;
    std::vector<std::unique_ptr<cost_node>> nodes;
    for (std::size_t i = 0; i < count; ++i) {
        nodes.push_back(std::make_unique<cost_node>());
        start_node(*nodes.back(), i, context);
    }
    for (std::size_t i = count; i < members; ++i) {
        nodes[i % count]->simulated.push_back(make_entry(i));
        nodes[i % count]->simulated.back().mesh_address.clear();
    }
    for (auto& node : nodes) {
        merge_entry(node->known, self_entry(nodes.front()->known), 0ms, steady_now());
        gossip(*node);
    }
    context.run_for(warm_up);
    const auto before = total(nodes);
    const double memory_warm = resident_kb();
    const double cpu_before = cpu_seconds();
    context.run_for(time);
    const double cpu = cpu_seconds() - cpu_before;
    const auto after = total(nodes);
    const double node_seconds = double(count) * double(time.count());
    const auto name = "mesh_" + std::to_string(count) + "_nodes_" + std::to_string(members) + "_members_";
    const auto& plan = nodes.front()->plan;
    print(name + "heartbeat_period", double(plan.heartbeat_period.count()), "ms");
    print(name + "least_members_alive", double(alive_seen(nodes)), "members");
    print(name + "cpu", 100 * cpu / node_seconds, "percent_of_a_core_per_node");
    print(name + "out", double(after.bytes_out - before.bytes_out) / node_seconds, "bytes/s_per_node");
    print(name + "in", double(after.bytes_in - before.bytes_in) / node_seconds, "bytes/s_per_node");
    print(name + "messages", double(after.messages_out - before.messages_out) / node_seconds, "1/s_per_node");
    print(name + "memory", (resident_kb() - memory_before) / double(count), "KB_per_node");
    print(name + "growth", (resident_kb() - memory_warm) / node_seconds, "KB/s_per_node");
    for (auto& node : nodes) {
        node->timer->cancel();
        node->peers->stop();
    }
    context.run_for(1s);
}

} // namespace

int main(int argc, char** argv) {
    const std::chrono::seconds time(argc > 1 ? std::max(1, std::atoi(argv[1])) : 8);
    for (const std::size_t members : {7, 28, 100, 380}) {
        measure_pure(members);
    }
    for (const std::size_t count : {3, 7, 14, 28}) {
        measure_fleet(count, count, time);
    }
    for (const std::size_t members : {100, 380}) {
        measure_fleet(28, members, time);
    }
    return 0;
}
