#include <doctest/doctest.h>

#include "support/process/requests.h"

using namespace figspoke::test;
using nlohmann::json;

namespace {

constexpr int engine_count = 4;
const std::string poison = "poison";

fleet_spec crash_fleet(int nodes) {
    fleet_spec spec;
    spec.nodes = nodes;
    for (int i = 0; i < engine_count; ++i) {
        spec.upstreams.push_back({"engine-" + std::to_string(i), {"small@1"}, {}, {}});
    }
    return spec;
}

// Lets every engine lose all its work when it runs a request with the poison. Requests before it save up
// retries.
void prepare(fleet& nodes) {
    for (int i = 0; i < nodes.node_count() * 25; ++i) {
        REQUIRE(nodes.chat(i % nodes.node_count(), chat_body("warm " + std::to_string(i), false)).status ==
                200);
    }
    for (int i = 0; i < engine_count; ++i) {
        set_control(nodes.upstream("engine-" + std::to_string(i)), {{"crash_reset", poison}});
    }
}

// Sends the poison again and again, and between two of them an innocent request. Returns the last answer to
// the poison.
http_answer keep_sending(fleet& nodes, int times) {
    http_answer last;
    for (int i = 0; i < times; ++i) {
        last = nodes.chat(i % nodes.node_count(), chat_body(poison, false));
        CHECK(last.status >= 400);
        const auto text = "innocent " + std::to_string(i);
        const auto innocent = nodes.chat((i + 1) % nodes.node_count(), chat_body(text, false));
        CHECK_MESSAGE(innocent.status == 200, innocent.body);
    }
    return last;
}

// Each engine that began the poison crashed once.
int count_crashes(fleet& nodes) {
    int count = 0;
    const auto executions = nodes.executions();
    for (const auto& execution : executions) {
        count += execution.at("outcome") == "lost" ? 1 : 0;
    }
    return count;
}

} // namespace

TEST_CASE("a request that crashes its engines is refused by one node after a few crashes") {
    // Guards against a caller whose repeats take down one engine after the other.
    fleet nodes(crash_fleet(1));
    prepare(nodes);
    const auto last = keep_sending(nodes, 10);
    CHECK(kind_of(last) == "crash_suspect");
    CHECK(execution_of(last) == "not_run");
    CHECK(count_crashes(nodes) <= 4);
}

TEST_CASE("a request that crashes its engines is refused fleet-wide after a few crashes") {
    // Guards against crash evidence that stays with the node that saw the crash.
    fleet nodes(crash_fleet(3));
    prepare(nodes);
    const auto last = keep_sending(nodes, 12);
    CHECK(kind_of(last) == "crash_suspect");
    CHECK(count_crashes(nodes) <= 4);
}

TEST_CASE("garbage from an engine is a failure of the engine and no crash of the request") {
    // Guards against innocent requests that are refused because their engines sent malformed answers.
    fleet nodes(crash_fleet(1));
    prepare(nodes);
    for (int round = 0; round < 6; ++round) {
        for (int i = 0; i < engine_count; ++i) {
            set_control(nodes.upstream("engine-" + std::to_string(i)), {{"garbage", 1}});
        }
        const auto answer = nodes.chat(0, chat_body("innocent", false));
        const bool fitting = answer.status == 200 || kind_of(answer) == "upstream_failed";
        CHECK_MESSAGE(fitting, answer.body);
    }
    for (int i = 0; i < engine_count; ++i) {
        set_control(nodes.upstream("engine-" + std::to_string(i)), {{"garbage", 0}});
    }
    CHECK(wait_until([&] { return nodes.chat(0, chat_body("innocent", false)).status == 200; }));
}
