#include <csignal>
#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"
#include "policy/session_pins.h"

using namespace figspoke;
using namespace figspoke::test;
using std::chrono::milliseconds;

namespace {

// A conversation that the trial of a roll-out would move to the new version.
std::string conversation_in_trial(const std::string& service) {
    int number = 0;
    while (policy::session_bucket(core::stable_hash(service + "/s" + std::to_string(number))) >= 0.02) {
        ++number;
    }
    return "s" + std::to_string(number);
}

void add_engine(relay_cluster& cluster, const std::string& id, const std::string& version,
                const engine_stand_in& engine) {
    const nlohmann::json entry = {{"service", "model"}, {"address", engine.address()},
                                  {"zone", "z"},        {"version", version},
                                  {"slots", 8},         {"state", "ready"},
                                  {"sequence", 1},      {"born", 1}};
    cluster.store().put("servers/" + id, entry.dump());
}

} // namespace

TEST_CASE("a conversation keeps its version after an answer that lasted longer than its pause") {
    // Guards against a pause that is counted from the beginning of an answer: the next request of the
    // conversation went to the new version in the trial of a roll-out. The second node has only heard of it.
    const auto stream = [](milliseconds duration) {
        return [duration](engine_connection& connection, const engine_request& request) {
            connection.begin_stream(request);
            connection.send_chunk("id: 1\ndata: e\n\n");
            std::this_thread::sleep_for(duration);
            connection.send_chunk("id: 2\ndata: e\n\n");
            connection.end_stream();
        };
    };
    engine_stand_in old_engine(stream(milliseconds(2500)));
    engine_stand_in new_engine(stream(milliseconds(0)));
    relay_cluster cluster;
    cluster.configure(1, {"k1"});
    add_engine(cluster, "i-old", "v1", old_engine);
    add_engine(cluster, "i-new", "v2", new_engine);
    cluster.store().put("op/rollout/model", R"({"service":"model","target":"v2","durationS":600})");
    std::vector<relay_process*> nodes = {&cluster.start_node(), &cluster.start_node()};
    for (auto* node : nodes) {
        cluster.write_settings(*node, cluster.settings_of(*node) + "session_s = 1\n");
        node->process->send_signal(SIGHUP);
        REQUIRE(
            wait_until([&] { return node->process->output().find("\"reloaded\"") != std::string::npos; }));
    }
    const auto session = conversation_in_trial("model");
    // The first request runs on the old version while the new one has no engine.
    cluster.store().remove("servers/i-new");
    REQUIRE(wait_until([&] {
        return nodes[0]->process->output().find("\"removed\":[\"i-new\"]") != std::string::npos &&
               nodes[1]->process->output().find("\"removed\":[\"i-new\"]") != std::string::npos;
    }));
    kept_connection first(nodes[0]->callers);
    first.send("/chat/1", "first", milliseconds(8000), "Session: " + session + "\r\n");
    REQUIRE(wait_until([&] { return old_engine.requests().size() == 1; }));
    add_engine(cluster, "i-new", "v2", new_engine);
    CHECK(first.read(milliseconds(8000)).complete);
    std::this_thread::sleep_for(milliseconds(400));
    std::size_t sent = 1;
    for (auto* node : nodes) {
        kept_connection next(node->callers);
        next.send("/chat/1", "next-" + node->ip, milliseconds(8000), "Session: " + session + "\r\n");
        ++sent;
        REQUIRE(
            wait_until([&] { return old_engine.requests().size() + new_engine.requests().size() == sent; }));
    }
    CHECK(old_engine.requests().size() == sent);
}
