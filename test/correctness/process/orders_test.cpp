#include <csignal>
#include <future>
#include <set>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec shop_fleet(std::vector<std::string> flags = {}) {
    fleet_spec spec;
    spec.upstreams = {{"shop", {}, {"parts_order"}, std::move(flags)}};
    return spec;
}

// How often the upstream began the order with this key.
int executions_of(const fleet& nodes, const std::string& key) {
    int count = 0;
    const json counts = get_counts(nodes.upstream("shop"));
    for (const auto& execution : counts.at("executions")) {
        count += execution.at("key") == key ? 1 : 0;
    }
    return count;
}

std::future<http_answer> order_later(const fleet& nodes, int index, const std::string& key) {
    return std::async(std::launch::async, [&nodes, index, key] { return place_order(nodes, index, key); });
}

// Repeats an order at a node until the answer is none of the passing states.
http_answer repeat_until_settled(const fleet& nodes, int index, const std::string& key) {
    http_answer answer;
    const std::set<std::string> passing = {"in_progress", "store_unavailable", "isolated"};
    CHECK(wait_until([&] {
        answer = place_order(nodes, index, key);
        return answer.status != 0 && passing.count(kind_of(answer)) == 0;
    }));
    return answer;
}

} // namespace

TEST_CASE("an order sent to several nodes at once, or whose claim had no reply, runs once") {
    // Guards against two nodes that both believe to hold the claim, and against a claim that is repeated
    // because its reply was lost.
    fleet nodes(shop_fleet());
    for (int round = 0; round < 10; ++round) {
        const std::string key = "race-" + std::to_string(round);
        set_control(nodes.kv(), {{"drop_replies", round % 3}});
        std::vector<std::future<http_answer>> answers(6);
        int sender = 0;
        for (auto& pending : answers) {
            pending = order_later(nodes, sender++ % nodes.node_count(), key);
        }
        int answered = 0;
        for (auto& pending : answers) {
            const auto answer = pending.get();
            const bool fitting = answer.status == 200 || kind_of(answer) == "in_progress";
            CHECK_MESSAGE(fitting, answer.body);
            answered += answer.status == 200 ? 1 : 0;
        }
        CHECK(answered >= 1);
        CHECK(executions_of(nodes, key) == 1);
    }
}

TEST_CASE("an order whose node was frozen past the takeover of its shard runs at most once") {
    // Guards against a node that wakes up and acts on a claim which others have already judged.
    fleet nodes(shop_fleet({"--first_token_ms=50"}));
    std::vector<std::string> keys;
    std::vector<std::future<http_answer>> frozen;
    // Slow replies put the freeze between the claim's write and its reply for most of these orders.
    set_control(nodes.kv(), {{"delay_ms", 150}});
    for (int i = 0; i < 12; ++i) {
        keys.push_back("frozen-" + std::to_string(i));
        frozen.push_back(order_later(nodes, 0, keys.back()));
    }
    REQUIRE(wait_until([&] {
        const auto shards = read_shards(nodes);
        return std::any_of(shards.begin(), shards.end(),
                           [](const auto& item) { return !item.second.orders.empty(); });
    }));
    nodes.node_process(0).send_signal(SIGSTOP);
    set_control(nodes.kv(), {{"delay_ms", 0}});
    std::map<std::string, std::vector<http_answer>> answers;
    for (const auto& key : keys) {
        answers[key].push_back(repeat_until_settled(nodes, 1, key));
    }
    nodes.node_process(0).send_signal(SIGCONT);
    for (std::size_t i = 0; i < keys.size(); ++i) {
        answers[keys[i]].push_back(frozen[i].get());
        answers[keys[i]].push_back(repeat_until_settled(nodes, 2, keys[i]));
    }
    for (const auto& [key, given] : answers) {
        const int ran = executions_of(nodes, key);
        CHECK(ran <= 1);
        for (const auto& answer : given) {
            const bool ok = answer.status == 200;
            CHECK_MESSAGE((!ok || ran == 1), answer.body);
        }
    }
}

TEST_CASE("an order whose node died after the dispatch is reported as unknown and never runs again") {
    // Guards against a peer that takes a dead node's claim for work that did not run.
    fleet nodes(shop_fleet({"--first_token_ms=1500"}));
    auto lost = order_later(nodes, 0, "lost");
    REQUIRE(wait_until([&] { return executions_of(nodes, "lost") == 1; }));
    nodes.node_process(0).send_signal(SIGKILL);
    CHECK(lost.get().status == 0);
    for (const int index : {1, 2}) {
        const auto repeat = repeat_until_settled(nodes, index, "lost");
        CHECK(kind_of(repeat) == "outcome_unknown");
        CHECK(execution_of(repeat) == "unknown");
    }
    CHECK(executions_of(nodes, "lost") == 1);
}

TEST_CASE("an order is refused as not run while the key-value service is down, and runs once after it") {
    // Guards against work without a durable claim, and against a claim left behind by a refused order.
    fleet nodes(shop_fleet());
    set_control(nodes.kv(), {{"down", true}});
    std::vector<std::future<http_answer>> refused(3);
    int sender = 0;
    for (auto& pending : refused) {
        pending = order_later(nodes, sender++, "outage");
    }
    for (auto& pending : refused) {
        const auto answer = pending.get();
        CHECK_MESSAGE(kind_of(answer) == "store_unavailable", answer.body);
        CHECK(execution_of(answer) == "not_run");
    }
    CHECK(executions_of(nodes, "outage") == 0);
    set_control(nodes.kv(), {{"down", false}});
    const auto after = repeat_until_settled(nodes, 1, "outage");
    CHECK_MESSAGE(after.status == 200, after.body);
    CHECK(repeat_until_settled(nodes, 2, "outage").body == after.body);
    CHECK(executions_of(nodes, "outage") == 1);
}

TEST_CASE("an upstream's failure after the work is unknown, and its refusal before the work is not run") {
    // Guards against an error answer that is taken for work which did not run, and the other way round.
    fleet nodes(shop_fleet({"--slots=1", "--queue_limit=0", "--first_token_ms=800"}));
    set_control(nodes.upstream("shop"), {{"fail_first", 1}});
    const auto failed = place_order(nodes, 0, "failed");
    CHECK(kind_of(failed) == "outcome_unknown");
    CHECK(execution_of(failed) == "unknown");
    CHECK(kind_of(repeat_until_settled(nodes, 1, "failed")) == "outcome_unknown");
    CHECK(executions_of(nodes, "failed") == 1);

    auto busy = order_later(nodes, 0, "busy");
    REQUIRE(wait_until([&] { return executions_of(nodes, "busy") == 1; }));
    const auto refused = place_order(nodes, 1, "refused");
    CHECK_MESSAGE(kind_of(refused) == "upstream_refused", refused.body);
    CHECK(execution_of(refused) == "not_run");
    CHECK(executions_of(nodes, "refused") == 0);
    CHECK(busy.get().status == 200);
    CHECK(place_order(nodes, 2, "refused").status == 200);
    CHECK(executions_of(nodes, "refused") == 1);
}
