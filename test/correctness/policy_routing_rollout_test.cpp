#include <doctest/doctest.h>

#include "policy/answer_check.h"
#include "policy/exploration_budget.h"
#include "policy/prefix_hints.h"
#include "policy/rollout.h"
#include "policy/sequential_test.h"

using namespace figspoke;
using namespace figspoke::policy;

namespace {

core::steady_time at(int s) {
    return core::steady_time(std::chrono::hours(1) + std::chrono::seconds(s));
}

core::config_snapshot rollout_config() {
    core::config_snapshot config;
    for (const auto* const id : {"m@1", "m@2"}) {
        auto& version = config.versions[id];
        version.id = id;
        version.model = "m";
        version.quality = 0.9;
        version.rollout_percent = version.id == "m@1" ? 90 : 10;
    }
    return config;
}

} // namespace

TEST_CASE("conversations follow the rollout weights and only move to a version whose weight grows") {
    // Guards against a rollout step that moves conversations between versions whose weights don't change.
    auto config = rollout_config();
    auto& third = config.versions["m@3"];
    third = config.versions["m@2"];
    third.id = "m@3";
    const std::vector<const core::model_version*> all = {&config.versions["m@1"], &config.versions["m@2"],
                                                         &third};
    const auto choose = [&](int i) { return choose_rollout_version(std::to_string(i), all)->id; };
    std::vector<std::string> before;
    int on_new = 0;
    for (int i = 0; i < 2000; ++i) {
        before.push_back(choose(i));
        on_new += before.back() == "m@3" ? 1 : 0;
    }
    CHECK(on_new > 130);
    CHECK(on_new < 230);
    third.rollout_percent = 50;
    for (int i = 0; i < 2000; ++i) {
        const auto after = choose(i);
        CHECK((after == before[static_cast<std::size_t>(i)] || after == "m@3"));
    }
}

TEST_CASE("a stop names both versions and the counts, and an outage of both stops neither") {
    // Guards against a stop that doesn't tell operators why, and against one for an outage of all versions.
    const auto config = rollout_config();
    version_evidence evidence;
    sequential_test_state bad;
    evidence.sources["a/1"][{"m@1", "chat"}] = {900, 9, 90, 0, 0};
    evidence.sources["a/1"][{"m@2", "chat"}] = {100, 1, 10, 0, 0};
    auto outage_evidence = evidence;
    sequential_test_state outage;
    CHECK(update_sequential_test(bad, {}, config, evidence, at(0)).empty());
    CHECK(update_sequential_test(outage, {}, config, outage_evidence, at(0)).empty());
    evidence.sources["b/1"][{"m@2", "chat"}] = {0, 10, 0, 0, 0};
    const auto stops = update_sequential_test(bad, {}, config, evidence, at(1));
    REQUIRE(stops.size() == 1);
    CHECK(stops[0].version == "m@2");
    CHECK(stops[0].columns.at("state") == "withdrawn");
    CHECK(stops[0].columns.at("rollout_percent") == "0");
    CHECK(stops[0].reason.find("worse than \"m@1\"") != std::string::npos);
    CHECK(stops[0].reason.find("11 of 111 failed") != std::string::npos);
    outage_evidence.sources["b/1"][{"m@1", "chat"}] = {0, 900, 0, 0, 0};
    outage_evidence.sources["b/1"][{"m@2", "chat"}] = {0, 10, 0, 0, 0};
    CHECK(update_sequential_test(outage, {}, config, outage_evidence, at(1)).empty());
}

TEST_CASE("a stopped version that is activated again gets a new test") {
    // Guards against a repaired version that is stopped again for its old outcomes.
    auto config = rollout_config();
    version_evidence evidence;
    sequential_test_state state;
    evidence.sources["a/1"][{"m@1", "chat"}] = {900, 9, 90, 0, 0};
    evidence.sources["a/1"][{"m@2", "chat"}] = {0, 20, 0, 0, 0};
    CHECK(update_sequential_test(state, {}, config, evidence, at(0)).size() == 1);
    CHECK(update_sequential_test(state, {}, config, evidence, at(1)).size() == 1);
    config.versions["m@2"].state = core::version_state::withdrawn;
    CHECK(update_sequential_test(state, {}, config, evidence, at(2)).empty());
    config.versions["m@2"].state = core::version_state::active;
    CHECK(update_sequential_test(state, {}, config, evidence, at(3)).empty());
}

TEST_CASE("exploration stays within its share of the requests") {
    // Guards against exploration beyond its share where it is worthwhile for every request.
    exploration_budget budget;
    budget.probability = 1;
    int explored = 0;
    for (int i = 0; i < 1000; ++i) {
        const bool explores = exploration_probability(budget) > 0;
        explored += explores ? 1 : 0;
        record_plan(budget, explores, 1);
    }
    CHECK(explored <= 20);
    CHECK(explored >= 18);
}

TEST_CASE("prefix hints end on eviction or expiry and are bounded") {
    // Guards against hints that stay after a lost eviction event, and against unbounded memory.
    prefix_hints hints;
    hints.settings.max_prefixes = 100;
    record_cache_event(hints, "u1", "p", true, at(0));
    CHECK(has_prefix(hints, "u1", "p", at(1)));
    CHECK_FALSE(has_prefix(hints, "u2", "p", at(1)));
    CHECK_FALSE(has_prefix(hints, "u1", "p", at(301)));
    record_cache_event(hints, "u1", "p", false, at(2));
    CHECK_FALSE(has_prefix(hints, "u1", "p", at(3)));
    for (int i = 0; i < 1000; ++i) {
        record_cache_event(hints, "u1", "p" + std::to_string(i), true, at(i));
    }
    CHECK(hints.holders.size() <= 100);
}

TEST_CASE("the answer check flags answers that are empty, cut short, declined, looping or not JSON") {
    // Guards against a cascade that returns a useless answer of its first step instead of escalating it.
    CHECK_FALSE(is_flagged({"The delivery takes three days.", false, false}));
    CHECK_FALSE(is_flagged({R"({"days":3})", false, true}));
    CHECK(is_flagged({" \n", false, false}));
    CHECK(is_flagged({"The delivery", true, false}));
    CHECK(is_flagged({"I'm sorry, but I cannot help.", false, false}));
    CHECK(is_flagged({"three days", false, true}));
    std::string loop;
    for (int i = 0; i < 100; ++i) {
        loop += "again and again and ";
    }
    CHECK(is_flagged({loop, false, false}));
}
