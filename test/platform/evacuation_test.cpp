#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

void answer_ok(engine_connection& connection, const engine_request& request) {
    connection.answer(request, 200, "ok");
}

// Two engines in two zones, and two nodes.
struct two_zones {
    two_zones() : first(answer_ok), second(answer_ok) {
        cluster.configure(1, {"k1"});
        add("i-first", first, "z1");
        add("i-second", second, "z2");
        for (auto*& node : nodes) {
            node = &cluster.start_node();
        }
    }

    void add(const std::string& id, const engine_stand_in& engine, const std::string& zone) {
        const nlohmann::json entry = {{"service", "shop"}, {"address", engine.address()},
                                      {"zone", zone},      {"version", "v1"},
                                      {"slots", 8},        {"state", "ready"},
                                      {"sequence", 1},     {"born", 1000}};
        cluster.store().put("servers/" + id, entry.dump());
    }

    void evacuate(const std::string& zone) {
        cluster.store().put("op/evacuate/" + zone, R"({"zone":")" + zone + R"("})");
    }

    // Sends requests through both nodes; returns how many of them were served.
    int send(int count) {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            for (auto* node : nodes) {
                served += cluster.send(*node, "/look/1", "r" + std::to_string(next++)).status == 200 ? 1 : 0;
            }
        }
        return served;
    }

    relay_cluster cluster;
    engine_stand_in first;
    engine_stand_in second;
    relay_process* nodes[2] = {nullptr, nullptr};
    int next = 0;
};

// An order must be in force this long after its acceptance.
constexpr milliseconds in_force{5000};

} // namespace

TEST_CASE("an evacuated zone gets no request, also after a restart and with the store away") {
    // Guards against requests that reach an engine in a zone that the operator has evacuated (EVAC).
    two_zones site;
    CHECK(site.send(20) == 40);
    REQUIRE_FALSE(site.first.requests().empty());
    site.evacuate("z1");
    std::this_thread::sleep_for(in_force);
    const auto before = site.first.requests().size();
    CHECK(site.send(20) == 40);
    // A restarted node reads the order before it is ready.
    site.nodes[0]->process->send_signal(SIGKILL);
    site.nodes[0]->process->wait_for_exit();
    site.cluster.relaunch(*site.nodes[0]);
    REQUIRE(wait_until([&] { return site.cluster.is_ready(*site.nodes[0]); }));
    CHECK(site.send(20) == 40);
    site.cluster.store().set_unavailable(true);
    CHECK(site.send(20) == 40);
    site.cluster.store().set_unavailable(false);
    CHECK(site.first.requests().size() == before);
    site.cluster.store().remove("op/evacuate/z1");
    CHECK(wait_until([&] {
        site.send(5);
        return site.first.requests().size() > before;
    }));
}

TEST_CASE("a request whose service has engines only in evacuated zones is refused at once") {
    // Guards against requests that wait until their deadline for engines that they may not use.
    two_zones site;
    site.evacuate("z1");
    site.evacuate("z2");
    std::this_thread::sleep_for(in_force);
    const auto reached = site.first.requests().size() + site.second.requests().size();
    const auto refused = site.cluster.send(*site.nodes[0], "/look/1", "refused");
    CHECK(refused.status == 503);
    bool has_delay = false;
    for (const auto& [name, value] : refused.headers) {
        has_delay = has_delay || name == "retry-after" || name == "Retry-After";
    }
    CHECK(has_delay);
    CHECK(site.send(10) == 0);
    CHECK(site.first.requests().size() + site.second.requests().size() == reached);
}
