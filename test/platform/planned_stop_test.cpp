#include <csignal>
#include <thread>

#include <doctest/doctest.h>

#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;

namespace {

// The grace period of the nodes in these tests is 6 s: requests are accepted for 1.8 s after the signal, and
// the process ends after 5.3 s at the latest.
constexpr milliseconds patience{8000};

struct one_node {
    explicit one_node(const engine_stand_in::handler& serve) : engine(serve) {
        cluster.configure(1, {"k1"});
        cluster.add_engine("i-shop", "shop", engine);
        cluster.add_engine("i-model", "model", engine);
        node = &cluster.start_node();
    }

    void stop() { node->process->send_signal(SIGTERM); }
    bool has_received(const std::string& id) const {
        for (const auto& request : engine.requests()) {
            if (request.headers.at("x-request-id") == id) {
                return true;
            }
        }
        return false;
    }

    relay_cluster cluster;
    engine_stand_in engine;
    relay_process* node = nullptr;
};

// Answers requests to /once/ with a stream of this length and all others at once.
engine_stand_in::handler stream_for(milliseconds duration) {
    return [duration](engine_connection& connection, const engine_request& request) {
        if (request.line.find("/once/") == std::string::npos) {
            connection.answer(request, 200, "done");
            return;
        }
        connection.begin_stream(request);
        connection.send_chunk("id: 1\ndata: e\n\n");
        std::this_thread::sleep_for(duration);
        connection.send_chunk("id: 2\ndata: e\n\n");
        connection.end_stream();
    };
}

} // namespace

TEST_CASE("a long request on a kept connection late in a planned stop is refused, not cut") {
    // Guards against a request that is passed on after the node has stopped accepting and is cut at its end:
    // a stream that began before the signal doesn't tell its caller that the connection will close.
    one_node fixture(stream_for(milliseconds(2600)));
    kept_connection caller(fixture.node->callers);
    caller.send("/once/1", "before", patience);
    REQUIRE(wait_until([&] { return fixture.has_received("before"); }));
    fixture.stop();
    CHECK(caller.read(patience).complete);
    caller.send("/once/2", "late", patience);
    auto refused = caller.read(patience);
    CHECK(refused.status == 503);
    CHECK(refused.complete);
    CHECK(refused.headers["connection"] == "close");
    CHECK(refused.headers["retry-after"] == "0.000");
    CHECK_FALSE(fixture.has_received("late"));
    CHECK(fixture.node->process->wait_for_exit(patience) == 0);
}

TEST_CASE("a short request on a kept connection late in a planned stop is served") {
    // Guards against refusals of requests that end before the process does.
    one_node fixture(stream_for(milliseconds(2600)));
    kept_connection caller(fixture.node->callers);
    caller.send("/once/1", "before", patience);
    REQUIRE(wait_until([&] { return fixture.has_received("before"); }));
    fixture.stop();
    CHECK(caller.read(patience).complete);
    caller.send("/order/1", "short", milliseconds(500));
    auto answer = caller.read(patience);
    CHECK(answer.status == 200);
    CHECK(answer.headers["connection"] == "close");
    CHECK(fixture.node->process->wait_for_exit(patience) == 0);
}

TEST_CASE("a request whose engine is still at work gets an error before a planned stop ends the process") {
    // Guards against a request that was read and ends with a closed connection.
    one_node fixture(
        [](engine_connection& connection, const engine_request&) { connection.wait_for_close(8000); });
    kept_connection caller(fixture.node->callers);
    caller.send("/order/1", "working", patience);
    REQUIRE(wait_until([&] { return fixture.has_received("working"); }));
    fixture.stop();
    const auto answer = caller.read(patience);
    CHECK(answer.status == 502);
    CHECK(answer.complete);
    CHECK(fixture.node->process->wait_for_exit(patience) == 0);
}
