#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// A node before an engine with a small model that is unsure of each answer, and one with a large model.
struct two_models {
    explicit two_models(const engine_stand_in::handler& serve_large)
        : small([](engine_connection& connection, const engine_request& request) {
              connection.answer(request, 200, "id: 1\ndata: small\n\n",
                                "X-Route-Confidence: 1\r\nContent-Type: text/event-stream\r\n");
          }),
          large(serve_large) {
        cluster.configure(1, {"k1"});
        auto config = json::parse(cluster.store().get("op/config"));
        for (auto& route : config["routes"]) {
            if (route["name"] == "chat") {
                route["sizes"] = {"small", "large"};
                route["targetLatencyMs"] = 4000;
            }
        }
        cluster.store().put("op/config", config.dump());
        add_engine("i-small", "small", small);
        add_engine("i-large", "large", large);
    }

    void add_engine(const std::string& id, const std::string& model, const engine_stand_in& engine) {
        const json entry = {{"service", "model"},
                            {"address", engine.address()},
                            {"zone", "z"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"sequence", 1},
                            {"born", 1000},
                            {"models", {{{"name", model}}}}};
        cluster.store().put("servers/" + id, entry.dump());
    }

    kept_answer ask() {
        kept_connection caller(cluster.start_node().callers);
        caller.send("/chat/1", "r1", milliseconds(4000), "X-Model: *\r\nX-Token-Usage: 10,10\r\n");
        return caller.read(milliseconds(4000));
    }

    relay_cluster cluster;
    engine_stand_in small;
    engine_stand_in large;
};

} // namespace

TEST_CASE("the answer of a small model is not dropped for a larger one that can't be reached") {
    // Guards against an error in place of an answer that an engine was giving.
    two_models fixture([](engine_connection&, const engine_request&) {});
    fixture.large.crash();
    const auto answer = fixture.ask();
    CHECK(answer.status == 200);
    CHECK(answer.complete);
    CHECK(answer.body == "id: 1\ndata: small\n\n");
    CHECK(fixture.small.requests().size() == 1);
}

TEST_CASE("an unsure answer of a small model is replaced by one of a larger model") {
    two_models fixture([](engine_connection& connection, const engine_request& request) {
        connection.answer(request, 200, "id: 1\ndata: large\n\n", "Content-Type: text/event-stream\r\n");
    });
    CHECK(fixture.ask().body == "id: 1\ndata: large\n\n");
    CHECK(fixture.large.requests().size() == 1);
}
