#include <exception>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <doctest/doctest.h>

#include "relay/boot_clock.h"
#include "relay/rollouts.h"

using namespace figspoke;
using namespace figspoke::relay;
using state::store_era;
using state::store_position;

namespace {

const store_era first_era{1, 0};
const store_era second_era{2, 0};

// A node whose store holds the status of one service's roll-out.
struct rollout_node {
    rollout_node() : state(context, {}, {}, port()) {
        fleet_hooks hooks;
        hooks.add_local_state = [](heartbeat_message&) {};
        state.peers = std::make_unique<fleet>(
            context, fleet_settings{"n0", "d0", "127.0.3.1:1", "127.0.3.1:2", {}, {}}, std::move(hooks));
    }

    platform_port port() {
        platform_port result;
        result.read_rollout_status = [this](const std::string&, const boost::asio::yield_context&) {
            ++reads;
            return store_result<rollout_status>(stored);
        };
        result.write_rollout_status =
            [this](const std::string&, const rollout_status& status,
                   const boost::asio::yield_context&) -> store_result<store_position> {
            if (status.revision != stored.revision) {
                return tl::make_unexpected(store_error{store_failure::conflict, "another revision"});
            }
            stored = status;
            stored.revision = {era, ++revision};
            ++writes;
            return stored.revision;
        };
        return result;
    }

    void order(const std::string& target, std::uint64_t at) {
        update_rollout_orders(state, {{"s", target, core::seconds(30), {era, at}}}, era);
    }

    // The store comes back from a copy, in which the status has this revision, or none.
    void return_store(std::uint64_t status_revision) {
        era = second_era;
        revision = status_revision;
        stored.revision = {status_revision == 0 ? store_era{} : era, status_revision};
        if (status_revision == 0) {
            stored = {};
        }
    }

    void run_writes(int rounds = 4) {
        for (int i = 0; i < rounds; ++i) {
            boost::asio::spawn(
                context,
                [this](const boost::asio::yield_context& yield) { write_rollout_states(state, yield); },
                [](const std::exception_ptr& thrown) { CHECK_FALSE(thrown); });
            context.restart();
            context.run();
        }
    }

    rollout_progress& progress() { return state.rollouts.at("s"); }

    void merge(rollout_state value, bool stopped) {
        merge_rollout_record(state, {"s", state::pack_position(progress().order.position), value, stopped,
                                     true, core::milliseconds(9000)});
    }

    boost::asio::io_context context;
    store_era era = first_era;
    std::uint64_t revision = 100;
    rollout_status stored;
    int reads = 0;
    int writes = 0;
    relay_state state;
};

} // namespace

TEST_CASE("a completed roll-out isn't begun again after a return of the store, and is written again") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::completed, false);
    node.run_writes();
    CHECK(node.writes == 0);
    node.return_store(0);
    node.order("v2", 30);
    CHECK(node.progress().status.state == rollout_state::completed);
    CHECK(node.progress().share == 1.0);
    CHECK(boot_now() - node.progress().started_at >= core::milliseconds(9000));
    node.run_writes();
    CHECK(node.writes == 1);
    CHECK(node.stored.state == rollout_state::completed);
    CHECK(node.stored.order.target == "v2");
    CHECK(node.stored.order.revision == 30);
    CHECK(node.stored.order.era == second_era);
    node.run_writes();
    CHECK(node.writes == 1);
}

TEST_CASE("a stopped version stays stopped after a return of the store") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::in_progress, true);
    node.return_store(0);
    node.order("v2", 70);
    CHECK(node.progress().stopped);
    CHECK(node.progress().share == 0);
    node.run_writes();
    CHECK(node.stored.state == rollout_state::reverted);
}

TEST_CASE("a roll-out goes on after a return of the store, and its status is written again") {
    rollout_node node;
    node.order("v2", 50);
    node.run_writes();
    REQUIRE(node.writes == 1);
    const auto began = node.progress().started_at;
    // The copy holds an older status than this node wrote.
    node.return_store(20);
    node.order("v2", 30);
    CHECK(node.progress().started_at == began);
    node.run_writes();
    CHECK(node.writes == 2);
    CHECK(node.stored.order.era == second_era);
}

TEST_CASE("a new order after a return of the store is obeyed although its revision is lower") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::reverted, true);
    node.return_store(0);
    node.order("v3", 30);
    CHECK(node.progress().order.target == "v3");
    CHECK_FALSE(node.progress().stopped);
    node.run_writes();
    CHECK(node.stored.state == rollout_state::in_progress);
}

TEST_CASE("an order that was replaced and stands in a copy of the store isn't begun again") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::reverted, true);
    node.order("v3", 60);
    node.merge(rollout_state::completed, false);
    node.return_store(0);
    node.order("v2", 50);
    CHECK(node.progress().stopped);
    CHECK(node.progress().status.state == rollout_state::reverted);
    // The operator writes the latest order again.
    node.order("v3", 55);
    CHECK(node.progress().status.state == rollout_state::completed);
    CHECK(node.progress().share == 1.0);
    // Later in that era, the same target is a new order.
    node.order("v2", 58);
    CHECK_FALSE(node.progress().stopped);
    CHECK(node.progress().status.state == rollout_state::in_progress);
}

TEST_CASE("an order that is missing for a while after a return of the store continues its roll-out") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::completed, false);
    node.return_store(0);
    update_rollout_orders(node.state, {}, second_era);
    CHECK(node.state.rollouts.empty());
    node.order("v2", 30);
    CHECK(node.progress().status.state == rollout_state::completed);
}

TEST_CASE("a node that starts after a return of the store doesn't begin a completed roll-out again") {
    rollout_node node;
    node.return_store(20);
    node.stored.state = rollout_state::completed;
    node.stored.order = {"v2", 50, first_era};
    node.order("v2", 30);
    node.run_writes();
    CHECK(node.progress().status.state == rollout_state::completed);
    CHECK(node.progress().share == 1.0);
    CHECK(node.stored.order.era == second_era);
    CHECK(node.stored.state == rollout_state::completed);
}

TEST_CASE("in one era of the store the same order under a later revision begins anew") {
    rollout_node node;
    node.order("v2", 50);
    node.merge(rollout_state::completed, false);
    node.order("v2", 60);
    CHECK(node.progress().status.state == rollout_state::in_progress);
    CHECK(node.progress().share == 0);
    // Neither is it stopped for the status of the earlier one.
    node.stored.state = rollout_state::reverted;
    node.stored.order = {"v2", 50, first_era};
    node.stored.revision = {first_era, 55};
    node.run_writes();
    CHECK_FALSE(node.progress().stopped);
}

TEST_CASE("a peer's record of the same revision in another era isn't merged") {
    rollout_node node;
    node.return_store(0);
    node.order("v3", 50);
    merge_rollout_record(node.state, {"s", state::pack_position({first_era, 50}), rollout_state::completed,
                                      false, true, core::milliseconds(9000)});
    CHECK(node.progress().status.state == rollout_state::in_progress);
    REQUIRE(rollout_records(node.state).size() == 1);
    CHECK(rollout_records(node.state).front().order == state::pack_position({second_era, 50}));
}

TEST_CASE("the roll-outs of replaced orders that are remembered are bounded") {
    rollout_node node;
    for (std::uint64_t i = 0; i < 100; ++i) {
        node.order("v" + std::to_string(i), 50 + i);
    }
    CHECK(node.state.past_rollouts.size() <= 64);
}
