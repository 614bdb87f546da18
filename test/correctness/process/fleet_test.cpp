#include <csignal>

#include <doctest/doctest.h>

#include "core/config.h"
#include "support/process/fleet.h"

using namespace figspoke;
using namespace figspoke::test;

// Guards against a harness whose table, VM list or restarts differ from what tests of nodes rely on.
TEST_CASE("a fleet without nodes stores its table, lists its VMs and restarts an upstream") {
    fleet_spec spec;
    spec.nodes = 0;
    spec.upstreams = {{"engine0", {"m@1"}, {}, {"--slots=2"}}, {"shop", {}, {"order"}, {}}};
    fleet running(spec);
    CHECK(core::build_snapshot(running.read_table()).value().versions.count("m@1") == 1);
    running.change_table([](core::table& table) { table.rows.erase({"service", "order"}); });
    CHECK(running.read_table().revision == 2);
    running.publish_vms({"shop"});
    const auto vms = json_of(http_get(running.platform(), "/vms")).at("vms");
    CHECK(vms.at(0).at("state") == "live");
    CHECK(vms.at(1).at("state") == "leaving");
    CHECK(http_post(running.upstream("shop"), "/services/order", "{}").status == 200);
    CHECK(running.executions().size() == 1);
    const auto address = running.upstream("shop");
    running.upstream_process("shop").send_signal(SIGKILL);
    CHECK(running.upstream_process("shop").wait_for_exit() == 128 + SIGKILL);
    running.start_upstream("shop");
    CHECK(running.upstream("shop") == address);
    CHECK(running.executions().empty());
}
