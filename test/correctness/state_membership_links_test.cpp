#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/entry_choice.h"
#include "state/gossip_plan.h"
#include "state/link_choice.h"
#include "state/shard_owner.h"
#include "state/watcher_choice.h"

using namespace figspoke;
using namespace figspoke::state;

namespace {

std::vector<member_entry> make_members(std::size_t count, unsigned id_prefix, std::size_t domains) {
    std::vector<member_entry> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].id = std::to_string(id_prefix) + "-" + std::to_string(i);
        members[i].failure_domain = "z" + std::to_string(i % domains);
        members[i].http_address = "h" + std::to_string(i);
        members[i].state = member_state::serving;
    }
    return members;
}

std::vector<const member_entry*> pointers(const std::vector<member_entry>& members) {
    std::vector<const member_entry*> result;
    result.reserve(members.size());
    for (const auto& entry : members) {
        result.push_back(&entry);
    }
    return result;
}

std::size_t count_connected(const std::map<std::string, std::set<std::string>>& graph) {
    std::set<std::string> seen{graph.begin()->first};
    std::vector<std::string> unvisited{graph.begin()->first};
    while (!unvisited.empty()) {
        const auto id = unvisited.back();
        unvisited.pop_back();
        for (const auto& neighbour : graph.at(id)) {
            if (seen.insert(neighbour).second) {
                unvisited.push_back(neighbour);
            }
        }
    }
    return seen.size();
}

bool links_connect_all_members(std::size_t count, unsigned id_prefix) {
    const auto members = make_members(count, id_prefix, 5);
    std::map<std::string, std::set<std::string>> graph;
    // The first links alone must connect all members: three random links per member don't always do so.
    std::map<std::string, std::set<std::string>> ring;
    for (const auto& self : members) {
        graph[self.id];
        ring[self.id];
        const auto links = choose_links(self, pointers(members));
        const std::set<std::string> distinct(links.begin(), links.end());
        if (distinct.size() != std::min(count - 1, dialled_link_count) || distinct.count(self.id) > 0) {
            return false;
        }
        for (const auto& peer : links) {
            graph[self.id].insert(peer);
            graph[peer].insert(self.id);
        }
        if (!links.empty()) {
            ring[self.id].insert(links.front());
            ring[links.front()].insert(self.id);
        }
    }
    return count_connected(graph) == count && count_connected(ring) == count;
}

} // namespace

TEST_CASE("the link graph is connected for 1 to 400 members") {
    // Guards against a group of nodes that receives no heartbeats of the others.
    CHECK(rc::check([] {
        RC_ASSERT(links_connect_all_members(*rc::gen::inRange<std::size_t>(1, 30),
                                            *rc::gen::arbitrary<unsigned>()));
    }));
    for (const std::size_t count : {100, 200, 380, 399, 400}) {
        CHECK(links_connect_all_members(count, unsigned(count)));
    }
}

TEST_CASE("links prefer other failure domains") {
    const auto members = make_members(60, 1, 3);
    for (const auto& self : members) {
        std::set<std::string> domains{self.failure_domain};
        for (const auto& peer : choose_links(self, pointers(members))) {
            for (const auto& entry : members) {
                if (entry.id == peer) {
                    domains.insert(entry.failure_domain);
                }
            }
        }
        CHECK(domains.size() == 3);
    }
}

TEST_CASE("entry addresses avoid loaded members, span the failure domains and are stable for a caller") {
    // Guards against callers that all move at each small change of load, or whose addresses lie in one
    // failure domain.
    CHECK(rc::check([](const std::string& caller) {
        auto members = make_members(9, 1, 3);
        members[0].load = 90;
        const auto chosen = choose_entry_addresses(pointers(members), caller, 3);
        RC_ASSERT(chosen.size() == 3U);
        std::set<std::string> domains;
        for (const auto& address : chosen) {
            domains.insert(members[std::size_t(std::stoi(address.substr(1)))].failure_domain);
            RC_ASSERT(address != "h0");
        }
        RC_ASSERT(domains.size() == 3U);
        members[1].load = 20;
        RC_ASSERT(choose_entry_addresses(pointers(members), caller, 3) == chosen);
    }));
}

TEST_CASE("watchers cover each failure domain, and a lost member moves only its own shards") {
    auto members = make_members(12, 1, 3);
    CHECK(choose_watchers(pointers(members)).size() == 6);
    std::vector<std::string> owners;
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        owners.push_back(choose_shard_owner(shard, pointers(members)));
    }
    const auto lost = members.back().id;
    members.pop_back();
    for (std::uint32_t shard = 0; shard < 64; ++shard) {
        if (owners[shard] != lost) {
            CHECK(choose_shard_owner(shard, pointers(members)) == owners[shard]);
        }
    }
    CHECK(choose_shard_owner(0, {}).empty());
}

TEST_CASE("the heartbeat period grows with the member count, and suspicion takes at most three seconds") {
    auto previous_period = core::milliseconds(0);
    for (const std::size_t count : {3, 7, 28, 100, 380}) {
        const auto plan = plan_gossip(count, std::min<std::size_t>(count - 1, 6));
        CHECK(plan.heartbeat_period >= previous_period);
        CHECK(plan.timeouts.suspect <= core::milliseconds(3000));
        previous_period = plan.heartbeat_period;
    }
}
