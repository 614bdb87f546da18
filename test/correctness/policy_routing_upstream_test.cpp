#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/upstream_choice.h"
#include "policy/upstream_health.h"
#include "policy/upstream_load.h"
#include "policy/upstream_subset.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

core::config_snapshot make_config(int count) {
    core::config_snapshot config;
    for (int i = 0; i < count; ++i) {
        core::upstream upstream;
        upstream.name = "u" + std::to_string(i);
        upstream.versions = {"m@1"};
        config.upstreams[upstream.name] = upstream;
    }
    return config;
}

std::vector<std::string> node_names(int count) {
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        names.push_back("n" + std::to_string(i));
    }
    return names;
}

} // namespace

TEST_CASE("an upstream that is unusable, full or tried is never chosen") {
    // Guards against requests to a failing upstream, and against a retry on the upstream that just failed.
    CHECK(rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<upstream_candidate> candidates;
        for (int i = 0; i < 6; ++i) {
            const int load = static_cast<int>(random() % 6);
            candidates.push_back(
                {"u" + std::to_string(i), "", 4, 1, load, random() % 3 != 0, random() % 2 == 0});
        }
        upstream_settings settings;
        settings.policy = random() % 4 == 0 ? upstream_policy::round_robin : upstream_policy::affinity;
        const std::string prefix = random() % 2 == 0 ? "p" : "";
        const upstream_request request{prefix, "", {"u0"}};
        const auto decision = choose_upstream(candidates, settings, request, {0.3, 0.8, random()});
        const auto is_eligible = [&](const auto& c) { return c.usable && c.load < 5 && c.name != "u0"; };
        RC_ASSERT(decision.has_value() == std::any_of(candidates.begin(), candidates.end(), is_eligible));
        if (decision) {
            RC_ASSERT(std::any_of(candidates.begin(), candidates.end(),
                                  [&](const auto& c) { return c.name == decision->name && is_eligible(c); }));
        }
    }));
}

TEST_CASE("the load estimate adds the node's own work since the report") {
    // Guards against a burst to one upstream between two of its reports, which lag behind its load.
    local_requests local;
    record_local_requests(local, 1, at(0));
    const load_report report{3, 1, at(100)};
    record_local_requests(local, 1, at(200));
    record_local_requests(local, 1, at(300));
    CHECK(estimate_load(report, local) == 6);
    record_local_requests(local, -1, at(400));
    record_local_requests(local, -1, at(500));
    record_local_requests(local, -1, at(600));
    CHECK(estimate_load(report, local) == 3);
}

TEST_CASE("subsets cover all upstreams evenly and change little when one is removed") {
    // Guards against upstreams that no node uses, and against new connections to all at each table change.
    auto config = make_config(750);
    const auto nodes = node_names(380);
    std::map<std::string, int> nodes_per_upstream;
    std::map<std::string, std::vector<std::string>> before;
    for (const auto& node : nodes) {
        before[node] = upstream_subset(config, "m@1", node, nodes, {});
        CHECK(before[node].size() >= 16);
        CHECK(before[node].size() <= 48);
        for (const auto& name : before[node]) {
            ++nodes_per_upstream[name];
        }
    }
    CHECK(nodes_per_upstream.size() == 750);
    for (const auto& count : nodes_per_upstream) {
        CHECK(count.second >= 10);
        CHECK(count.second <= 13);
    }
    config.upstreams.erase("u7");
    for (const auto& node : nodes) {
        const auto after = upstream_subset(config, "m@1", node, nodes, {});
        const std::set<std::string> previous(before[node].begin(), before[node].end());
        CHECK(std::count_if(after.begin(), after.end(),
                            [&](const auto& n) { return previous.count(n) == 0; }) <= 1);
    }
}

TEST_CASE("a failing upstream is ejected, probed once at a time and readmitted") {
    // Guards against traffic to a failing upstream, and against an upstream that is never used again.
    health_table table;
    for (const auto* const name : {"a", "b", "c"}) {
        record_outcome(table, name, true, at(0));
    }
    for (int i = 0; i < table.settings.consecutive_failures; ++i) {
        CHECK(is_usable(table, "a", at(i)));
        record_outcome(table, "a", false, at(i));
    }
    CHECK_FALSE(is_usable(table, "a", at(4000)));
    for (int i = 0; i < 2; ++i) {
        CHECK(is_usable(table, "a", at(6000 + i)));
        record_dispatch(table, "a", at(6000 + i));
        CHECK_FALSE(is_usable(table, "a", at(6000 + i)));
        record_outcome(table, "a", true, at(6000 + i));
    }
    CHECK(table.upstreams.at("a").state == health_state::healthy);
}

TEST_CASE("no more than the bounded share of upstreams is ejected") {
    // Guards against a node that ejects every upstream when its own network fails.
    health_table table;
    for (int round = 0; round < 20; ++round) {
        for (const auto* const name : {"a", "b", "c", "d"}) {
            record_outcome(table, name, round == 0, at(round));
        }
    }
    int usable = 0;
    for (const auto* const name : {"a", "b", "c", "d"}) {
        usable += is_usable(table, name, at(20)) ? 1 : 0;
    }
    CHECK(usable == 2);
}
