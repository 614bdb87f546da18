#include <doctest/doctest.h>

#include <array>

#include <rapidcheck.h>

#include "support/share_fleet.h"

using namespace figspoke;
using namespace figspoke::test;

namespace {

policy::rate_share_settings short_settings() {
    policy::rate_share_settings settings;
    settings.authority_time = milliseconds(600);
    settings.grant_time = milliseconds(2000);
    settings.burst = milliseconds(1000);
    settings.max_nodes = 5;
    return settings;
}

void inject_fault(share_fleet& fleet, int fault, std::size_t node) {
    switch (fault) {
    case 0:
        fleet.nodes[node].paused_until = fleet.now + milliseconds(fleet.random_below(6000));
        break;
    case 1:
        restart_node(fleet, node);
        break;
    case 2:
        fleet.partitioned = !fleet.partitioned;
        fleet.nodes[node].side = 1 - fleet.nodes[node].side;
        break;
    case 3:
        fleet.store_available = !fleet.store_available;
        break;
    case 4: // a node that wrongly takes itself for the allocator
        compare_and_swap_epoch(fleet, node, true);
        break;
    default:
        if (const auto release =
                policy::release_grant(fleet.nodes[node].holder, local_time(fleet, fleet.nodes[node]))) {
            send(fleet, node, fleet.epoch_owner, *release);
        }
    }
}

void step_node(share_fleet& fleet, std::size_t index) {
    if (is_paused(fleet, index)) {
        return;
    }
    share_node& node = fleet.nodes[index];
    if (node.allocator && fleet.random_below(3) == 0) {
        compare_and_swap_epoch(fleet, index, false);
    }
    node.assumed_allocator = fleet.random_below(8) == 0 ? fleet.epoch_owner : node.assumed_allocator;
    node.busy = fleet.random_below(15) == 0 ? !node.busy : node.busy;
    if (fleet.random_below(2) == 0) {
        send(fleet, index, node.assumed_allocator, policy::make_demand(node.holder, local_time(fleet, node)));
    }
    if (node.busy) {
        spend(fleet, index, fleet.random_below(400));
    }
}

} // namespace

TEST_CASE("shares never add up to more than the limit under any generated schedule") {
    // Guards against a rate that two nodes use at once when messages are lost, late, repeated or reordered,
    // nodes pause or restart, several nodes act as the allocator, the store is down or the mesh is
    // partitioned.
    CHECK(rc::check([] {
        const auto random_below = [](int below) { return *rc::gen::resize(100, rc::gen::inRange(0, below)); };
        auto fleet = make_fleet(short_settings(), 5, random_below);
        fleet.loss_percent = std::array{0, 10, 50}.at(static_cast<std::size_t>(random_below(3)));
        fleet.max_delay_ms = std::array{20, 200, 1000, 3000}.at(static_cast<std::size_t>(random_below(4)));
        const bool drifting = random_below(2) == 1;
        for (auto& node : fleet.nodes) {
            node.clock_offset = std::chrono::seconds(random_below(1000));
            node.clock_rate = drifting ? 0.9 + random_below(21) / 100.0 : 1;
        }
        for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
            restart_node(fleet, i);
        }
        compare_and_swap_epoch(fleet, 0, true);
        for (int step = 0; step < 300; ++step) {
            advance_fleet(fleet, milliseconds(20 + random_below(80)), drifting ? 1.1 : 1);
            if (random_below(12) == 0) {
                inject_fault(fleet, random_below(6), static_cast<std::size_t>(random_below(5)));
            }
            deliver(fleet);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                step_node(fleet, i);
            }
            RC_ASSERT(sum_of_shares(fleet) <= fleet.limit * (1 + 1e-9));
            RC_ASSERT(fleet.overspent <= 1e-6);
        }
    }));
}

TEST_CASE("shares follow demand and survive a change of allocator") {
    // Guards against a protocol that stays within the limit only because it grants nothing.
    auto settings = short_settings();
    settings.base_fraction = 0;
    auto fleet = make_fleet(settings, 3, [](int) { return 0; });
    const auto run = [&](int steps, std::size_t busy) {
        for (int step = 0; step < steps; ++step) {
            advance_fleet(fleet, milliseconds(100), 1);
            deliver(fleet);
            for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
                fleet.nodes[i].allocator ? compare_and_swap_epoch(fleet, i, false) : void();
                spend(fleet, i, i == busy ? 90 : 1);
                send(fleet, i, fleet.epoch_owner,
                     policy::make_demand(fleet.nodes[i].holder, local_time(fleet, fleet.nodes[i])));
            }
        }
        return policy::usable_rate(fleet.nodes[busy].holder, local_time(fleet, fleet.nodes[busy]));
    };
    compare_and_swap_epoch(fleet, 0, true);
    CHECK(run(60, 1) > 850);
    CHECK(run(60, 2) > 850);
    compare_and_swap_epoch(fleet, 1, true);
    fleet.nodes[0].allocator.reset();
    for (int i = 0; i < 40; ++i) {
        CHECK(run(1, 2) > 850);
    }
    CHECK(run(60, 1) > 850);
    CHECK(sum_of_shares(fleet) <= fleet.limit);
}

TEST_CASE("a new allocator adopts no share that was reported before its predecessor stopped") {
    // Guards against a delayed demand that restores a share which the predecessor has moved to another node.
    auto settings = short_settings();
    core::steady_time now{std::chrono::hours(1)};
    auto old_allocator = policy::start_epoch(settings, "a", 1000, 1, now, now);
    auto first_holder = policy::make_rate_holder(settings, "n1", "a", 1000, now);
    auto second_holder = policy::make_rate_holder(settings, "n2", "a", 1000, now);
    const auto exchange = [&](policy::rate_allocator& allocator, policy::rate_holder& holder) {
        const auto grant = policy::answer_demand(allocator, policy::make_demand(holder, now), now);
        return grant && policy::accept_grant(holder, *grant, now);
    };
    CHECK(exchange(old_allocator, first_holder));
    const auto delayed = policy::make_demand(first_holder, now);
    policy::record_release(old_allocator, *policy::release_grant(first_holder, now));
    CHECK(exchange(old_allocator, second_holder));
    auto next_allocator = policy::start_epoch(settings, "a", 1000, 2, now, now);
    CHECK_FALSE(policy::answer_demand(next_allocator, delayed, now));
    now += settings.authority_time;
    policy::confirm_epoch(next_allocator, now);
    const auto answer = policy::answer_demand(next_allocator, delayed, now);
    REQUIRE(answer);
    CHECK(answer->id == 0);
    CHECK_FALSE(exchange(next_allocator, second_holder));
    // The second holder now knows the new epoch and refuses late grants of the predecessor.
    const auto late = policy::share_grant{"a", "n2", 1, 99, 900, second_holder.last_sequence};
    CHECK_FALSE(policy::accept_grant(second_holder, late, now));
    CHECK(exchange(next_allocator, second_holder));
}
