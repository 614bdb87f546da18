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

std::vector<member_entry> some_members(std::size_t count, unsigned salt, std::size_t domains) {
    std::vector<member_entry> members(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].id = std::to_string(salt) + "-" + std::to_string(i);
        members[i].failure_domain = "z" + std::to_string(i % domains);
        members[i].http_address = "h" + std::to_string(i);
        members[i].state = member_state::serving;
    }
    return members;
}

std::vector<const member_entry*> pointers(const std::vector<member_entry>& members) {
    std::vector<const member_entry*> out;
    out.reserve(members.size());
    for (const auto& entry : members) {
        out.push_back(&entry);
    }
    return out;
}

std::size_t count_reached(const std::map<std::string, std::set<std::string>>& graph) {
    std::set<std::string> seen{graph.begin()->first};
    std::vector<std::string> todo{graph.begin()->first};
    while (!todo.empty()) {
        const auto id = todo.back();
        todo.pop_back();
        for (const auto& next : graph.at(id)) {
            if (seen.insert(next).second) {
                todo.push_back(next);
            }
        }
    }
    return seen.size();
}

bool is_good_graph(std::size_t count, unsigned salt) {
    const auto members = some_members(count, salt, 5);
    std::map<std::string, std::set<std::string>> graph;
    // The first links alone must connect all members: three random links each do so only most of the time.
    std::map<std::string, std::set<std::string>> ring;
    for (const auto& self : members) {
        graph[self.id];
        ring[self.id];
        const auto links = choose_links(self, pointers(members));
        const std::set<std::string> distinct(links.begin(), links.end());
        if (distinct.size() != std::min(count - 1, dialled_links) || distinct.count(self.id) > 0) {
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
    return count_reached(graph) == count && count_reached(ring) == count;
}

} // namespace

TEST_CASE("the link graph is connected for 1 to 400 members") {
    // Guards against a group of nodes that hears nothing of the others.
    CHECK(rc::check([] {
        RC_ASSERT(is_good_graph(*rc::gen::inRange<std::size_t>(1, 30), *rc::gen::arbitrary<unsigned>()));
    }));
    for (const std::size_t count : {100, 200, 380, 399, 400}) {
        CHECK(is_good_graph(count, unsigned(count)));
    }
}

TEST_CASE("links prefer other failure domains") {
    const auto members = some_members(60, 1, 3);
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

TEST_CASE("entries are serving members, spread and stable for a caller") {
    // Guards against callers that all move at each small change of load, or sit in one failure domain.
    CHECK(rc::check([](const std::string& caller) {
        auto members = some_members(9, 1, 3);
        members[0].load = 90;
        const auto chosen = choose_entries(pointers(members), caller, 3);
        RC_ASSERT(chosen.size() == 3U);
        std::set<std::string> domains;
        for (const auto& address : chosen) {
            domains.insert(members[std::size_t(std::stoi(address.substr(1)))].failure_domain);
            RC_ASSERT(address != "h0");
        }
        RC_ASSERT(domains.size() == 3U);
        members[1].load = 20;
        RC_ASSERT(choose_entries(pointers(members), caller, 3) == chosen);
    }));
}

TEST_CASE("watchers cover each failure domain, and a lost member moves only its own shards") {
    auto members = some_members(12, 1, 3);
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

TEST_CASE("the gossip plan slows with the member count and notices a cut-off within three seconds") {
    auto last = core::milliseconds(0);
    for (const std::size_t count : {3, 7, 28, 100, 380}) {
        const auto plan = plan_gossip(count, std::min<std::size_t>(count - 1, 6));
        CHECK(plan.heartbeat_period >= last);
        CHECK(plan.timeouts.suspect <= core::milliseconds(3000));
        last = plan.heartbeat_period;
    }
}
