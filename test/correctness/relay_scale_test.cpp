#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/trial_evidence.h"
#include "state/fleet_layout.h"

using namespace figspoke;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{std::chrono::hours(1)};

policy::trial_report report_of(const std::string& node, std::uint64_t sequence, std::uint64_t bad) {
    policy::trial_report report;
    report.node = node;
    report.incarnation = 1;
    report.sequence = sequence;
    report.target.bad = bad;
    report.running_on_old = 1;
    return report;
}

} // namespace

TEST_CASE("each report of a roll-out counts once, whatever the order and number of its arrivals") {
    // If forwarded reports counted more than once, the few failures of a good version could stop it.
    CHECK(rc::check([] {
        policy::trial_evidence evidence;
        for (int i = 0; i < 60; ++i) {
            const auto node = "n" + std::to_string(*rc::gen::inRange(0, 3));
            const auto sequence = std::uint64_t(*rc::gen::inRange(1, 9));
            policy::merge_report(evidence, report_of(node, sequence, sequence), 10ms, start);
        }
        for (int i = 0; i < 3; ++i) {
            policy::merge_report(evidence, report_of("n" + std::to_string(i), 9, 9), 10ms, start);
        }
        RC_ASSERT(policy::sum_reports(evidence, 1s, start).target.bad == 27U);
    }));
}

TEST_CASE("the counts of a dead process are kept, and its running requests expire") {
    // If the requests of a dead node counted on, the old version would seem to be in use and the roll-out
    // would never complete.
    policy::trial_evidence evidence;
    policy::merge_report(evidence, report_of("n1", 1, 4), 0ms, start);
    auto restarted = report_of("n1", 1, 2);
    restarted.incarnation = 2;
    policy::merge_report(evidence, restarted, 0ms, start + 5s);
    const auto totals = policy::sum_reports(evidence, 1s, start + 5s);
    CHECK(totals.target.bad == 6U);
    CHECK(totals.running_on_old == 1);
}

namespace {

std::vector<std::pair<std::string, std::string>> members_of(std::size_t count) {
    std::vector<std::pair<std::string, std::string>> members;
    for (std::size_t i = 0; i < count; ++i) {
        members.emplace_back("d" + std::to_string(i % 3), "n" + std::to_string(i));
    }
    return members;
}

// Returns the greatest number of hops from cell 0 to any other cell, over the links of the cells' members.
std::size_t max_hops(std::size_t count) {
    const auto members = members_of(count);
    std::map<std::string, std::pair<std::size_t, std::size_t>> place;
    std::map<std::size_t, std::set<std::size_t>> neighbours;
    std::map<std::string, state::fleet_layout> layouts;
    for (const auto& [domain, id] : members) {
        layouts[id] = state::plan_layout(members, id, {});
    }
    for (const auto& [id, layout] : layouts) {
        for (const auto& link : layout.links) {
            neighbours[layout.cell].insert(layouts[link].cell);
        }
    }
    std::map<std::size_t, std::size_t> hops{{0, 0}};
    std::vector<std::size_t> queue{0};
    std::size_t longest = 0;
    for (std::size_t i = 0; i < queue.size(); ++i) {
        for (const auto cell : neighbours[queue[i]]) {
            if (hops.emplace(cell, hops[queue[i]] + 1).second) {
                queue.push_back(cell);
                longest = std::max(longest, hops[cell]);
            }
        }
    }
    CHECK(queue.size() == layouts.begin()->second.cells);
    return longest;
}

} // namespace

TEST_CASE("a node of a large fleet has few peers, and messages reach every cell within the bound on hops") {
    // Heartbeats between all pairs of nodes stop working at about 30 nodes.
    for (const std::size_t count : {7U, 24U, 25U, 69U, 89U, 300U, 380U, 1000U}) {
        const auto members = members_of(count);
        for (const auto& [domain, id] : members) {
            const auto layout = state::plan_layout(members, id, {});
            CHECK(layout.cell_peers.size() + 1 <= (layout.cells == 1 ? 24U : 16U));
            CHECK(layout.cell_peers.size() + 1 >= (layout.cells == 1 ? count : 8U));
            CHECK(layout.links.size() <= 2 * 6U);
        }
        CHECK(max_hops(count) <= state::max_cell_hops(state::plan_layout(members, "n0", {}).cells));
    }
}

TEST_CASE("the members of a cell agree on its members") {
    const auto members = members_of(89);
    for (const auto& [domain, id] : members) {
        const auto layout = state::plan_layout(members, id, {});
        for (const auto& mate : layout.cell_peers) {
            const auto other = state::plan_layout(members, mate, {});
            CHECK(other.cell == layout.cell);
            CHECK(std::count(other.cell_peers.begin(), other.cell_peers.end(), id) == 1);
        }
    }
}

TEST_CASE("the loss of a member moves few others to another cell") {
    // After a node moves, its new cell cannot detect its failure until it has heard from the node.
    auto members = members_of(89);
    std::map<std::string, std::size_t> before;
    for (const auto& [domain, id] : members) {
        before[id] = state::plan_layout(members, id, {}).cell;
    }
    for (const std::size_t lost : {0U, 40U, 88U}) {
        auto fewer = members;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(lost));
        std::size_t moved = 0;
        for (const auto& [domain, id] : fewer) {
            moved += state::plan_layout(fewer, id, {}).cell != before[id] ? 1 : 0;
        }
        CHECK(moved <= 7U);
    }
}
