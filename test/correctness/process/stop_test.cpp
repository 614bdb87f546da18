#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include <doctest/doctest.h>

#include "support/process/journal.h"
#include "support/process/requests.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;

namespace {

fleet_spec slow_fleet() {
    fleet_spec spec;
    const std::vector<std::string> flags = {"--token_ms=60", "--answer_tokens_min=100",
                                            "--answer_tokens_max=100"};
    spec.upstreams = {{"engine-1", {"small@1"}, {}, flags},
                      {"engine-2", {"small@1"}, {}, flags},
                      {"shop", {}, {"parts_order"}, {}}};
    return spec;
}

int held_shards(const fleet& nodes, const std::vector<int>& indices) {
    int held = 0;
    for (const int index : indices) {
        held += status_of(nodes, index).at("shards").get<int>();
    }
    return held;
}

} // namespace

TEST_CASE("a planned stop under load cuts no stream off, takes no work after 5 s and hands its shards over") {
    // Guards against a stop that ends with its running requests, or that never ends.
    fleet nodes(slow_fleet());
    // A node admits a third of the 16 slots at once.
    std::vector<std::future<http_answer>> streams(4);
    for (auto& pending : streams) {
        pending = std::async(std::launch::async, [&] { return nodes.chat(0, chat_body("long", true, 500)); });
    }
    REQUIRE(wait_until([&] { return nodes.executions().size() == streams.size(); }));
    const auto stopped_at = std::chrono::steady_clock::now();
    nodes.node_process(0).send_signal(SIGTERM);
    http_answer refused;
    REQUIRE(wait_until([&] {
        refused = place_order(nodes, 0, "late-" + std::to_string(nodes.executions().size()));
        return refused.status != 200;
    }));
    CHECK(std::chrono::steady_clock::now() - stopped_at < std::chrono::seconds(5));
    CHECK_MESSAGE(kind_of(refused) == "draining", refused.body);
    CHECK(execution_of(refused) == "not_run");
    const json error = json_of(refused).at("error");
    REQUIRE(error.contains("addresses"));
    for (const auto& address : error.at("addresses")) {
        CHECK(address != nodes.node(0));
    }
    const auto before = nodes.executions().size();
    CHECK(place_order(nodes, 0, "too late").status != 200);
    CHECK(nodes.executions().size() == before);
    for (auto& pending : streams) {
        const auto answer = pending.get();
        CHECK(answer.complete);
        const auto events = split_events(answer.body);
        REQUIRE_FALSE(events.empty());
        CHECK(events.back() == "[DONE]");
    }
    CHECK(nodes.node_process(0).wait_for_exit() == 0);
    CHECK(wait_until([&] { return held_shards(nodes, {1, 2}) == 16; }));
    CHECK(place_order(nodes, 1, "after").status == 200);
}

TEST_CASE("answers of a node that is being stopped announce the end of their connections") {
    // Guards against callers that keep using a connection to a node that leaves, and against an order that
    // runs on a kept connection after the node has stopped taking work.
    fleet nodes(slow_fleet());
    const raw_connection kept(nodes.node(0));
    const raw_connection other(nodes.node(0));
    REQUIRE(kept.send(raw_post("/v1/chat/completions", chat_body("long", true, 500).dump())));
    REQUIRE(wait_until([&] { return nodes.executions().size() == 1; }));
    // The head of the stream is written before the stop, so that it doesn't announce the end.
    std::string stream = kept.read_some();
    REQUIRE(stream.find("HTTP/1.1 200") == 0);
    REQUIRE(stream.find("Connection: close") == std::string::npos);
    nodes.node_process(0).send_signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    REQUIRE(other.send(raw_post("/v1/orders/parts_order", R"({"units":3})", "Idempotency-Key: early\r\n")));
    const auto early = other.read_to_end();
    CHECK(early.find("HTTP/1.1 200") == 0);
    CHECK(early.find("Connection: close") != std::string::npos);
    const std::string last_chunk = "0\r\n\r\n";
    while (stream.size() < last_chunk.size() ||
           stream.compare(stream.size() - last_chunk.size(), last_chunk.size(), last_chunk) != 0) {
        const auto piece = kept.read_some();
        REQUIRE_FALSE(piece.empty());
        stream += piece;
    }
    const auto before = nodes.executions().size();
    REQUIRE(kept.send(raw_post("/v1/orders/parts_order", R"({"units":3})", "Idempotency-Key: late\r\n")));
    const auto late = kept.read_to_end();
    CHECK(late.find("HTTP/1.1 503") == 0);
    CHECK(late.find("draining") != std::string::npos);
    CHECK(late.find("Connection: close") != std::string::npos);
    CHECK(nodes.executions().size() == before);
    CHECK(nodes.node_process(0).wait_for_exit() == 0);
}

TEST_CASE("the shards of a killed node are taken over and serve orders again") {
    // Guards against shards without an owner after a failure.
    fleet nodes(slow_fleet());
    nodes.node_process(0).send_signal(SIGKILL);
    CHECK(wait_until([&] { return held_shards(nodes, {1, 2}) == 16; }));
    for (int i = 0; i < 32; ++i) {
        const auto answer = place_order(nodes, 1 + i % 2, "order-" + std::to_string(i));
        CHECK_MESSAGE(answer.status == 200, answer.body);
    }
    CHECK(nodes.executions().size() == 32);
}
