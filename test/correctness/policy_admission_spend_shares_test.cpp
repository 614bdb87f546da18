#include <doctest/doctest.h>

#include <variant>
#include <vector>

#include <rapidcheck.h>

#include "policy/spend_shares.h"

using namespace figspoke;
using namespace figspoke::policy;

namespace {

using spend_message = std::variant<spend_demand, spend_grant>;

struct spend_fleet {
    spend_record record;
    std::int64_t period = 1;
    std::int64_t limit = 10000;
    std::int64_t spent = 0;
    std::int64_t spent_period = 1;
    std::vector<spend_pool> pools;
    std::vector<spend_holder> holders;
    std::vector<spend_message> messages;
};

int random_below(int below) {
    return *rc::gen::resize(100, rc::gen::inRange(0, below));
}

void reserve(spend_fleet& fleet, spend_pool& pool) {
    if (const auto plan = plan_reservation(fleet.record, fleet.period, fleet.limit, 1500)) {
        fleet.record = plan->record;
        if (random_below(5) > 0) { // otherwise the allocator never learns that its write succeeded
            add_reserved(pool, plan->record.period, plan->amount);
        }
    }
}

// Delivers a random message and keeps or removes it, so that messages are late, repeated, reordered or lost.
void deliver_random(spend_fleet& fleet, core::steady_time now) {
    const auto index = static_cast<std::size_t>(random_below(static_cast<int>(fleet.messages.size())));
    const spend_message message = fleet.messages[index];
    if (random_below(2) == 0) {
        fleet.messages.erase(fleet.messages.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (const auto* grant = std::get_if<spend_grant>(&message)) {
        for (auto& holder : fleet.holders) {
            accept_spend_grant(holder, *grant, now);
        }
        return;
    }
    for (auto& pool : fleet.pools) {
        if (const auto grant = answer_spend_demand(pool, std::get<spend_demand>(message))) {
            fleet.messages.emplace_back(*grant);
        }
    }
}

void check_sums(const spend_fleet& fleet, core::steady_time now) {
    std::int64_t held = 0;
    std::int64_t spent = 0;
    for (const auto& holder : fleet.holders) {
        if (holder.period == fleet.record.period) {
            held += available_spend(holder, now);
            spent += holder.spent;
        }
    }
    for (const auto& pool : fleet.pools) {
        RC_ASSERT(pool.available >= 0);
        held += pool.period == fleet.record.period ? pool.available : 0;
    }
    RC_ASSERT(held + spent <= fleet.record.reserved);
    RC_ASSERT(fleet.record.reserved <= fleet.limit);
}

} // namespace

TEST_CASE("spending never exceeds the reserved money under any order of messages") {
    // Guards against money that is granted, returned or spent twice.
    CHECK(rc::check([] {
        spend_fleet fleet;
        core::steady_time now{std::chrono::hours(1)};
        for (const auto* name : {"p", "q"}) {
            fleet.pools.push_back({"a", name, 1, 0, {}});
        }
        for (const auto* name : {"x", "y", "z"}) {
            fleet.holders.push_back({"a", name, 0, 0, {}, std::chrono::milliseconds(5000), {}});
        }
        for (int step = 0; step < 200; ++step) {
            now += std::chrono::milliseconds(random_below(300));
            fleet.period += random_below(80) == 0 ? 1 : 0;
            auto& pool = fleet.pools[static_cast<std::size_t>(random_below(2))];
            auto& holder = fleet.holders[static_cast<std::size_t>(random_below(3))];
            switch (random_below(5)) {
            case 0:
                reserve(fleet, pool);
                break;
            case 1:
                fleet.messages.emplace_back(
                    make_spend_demand(holder, pool.allocator, random_below(900), now));
                break;
            case 2:
                if (take_spend(holder, random_below(300), now) && random_below(2) == 0) {
                    return_spend(holder, holder.period, random_below(100));
                }
                break;
            default:
                if (!fleet.messages.empty()) {
                    deliver_random(fleet, now);
                }
            }
            check_sums(fleet, now);
        }
    }));
}

TEST_CASE("surplus money returns and the next holder gets it") {
    // Guards against a limit that can't be used because idle nodes hold the money.
    core::steady_time now{std::chrono::hours(1)};
    spend_pool pool{"a", "p", 1, 1000, {}};
    spend_holder first_holder{"a", "x", 0, 0, {}, std::chrono::milliseconds(5000), {}};
    spend_holder second_holder = first_holder;
    second_holder.node = "y";
    const auto exchange = [&](spend_holder& holder, std::int64_t wanted) {
        accept_spend_grant(holder, *answer_spend_demand(pool, make_spend_demand(holder, "p", wanted, now)),
                           now);
    };
    exchange(first_holder, 1000);
    CHECK(take_spend(first_holder, 400, now));
    exchange(second_holder, 500);
    CHECK(available_spend(second_holder, now) == 0);
    exchange(first_holder, 0);
    exchange(second_holder, 500);
    CHECK(available_spend(second_holder, now) == 500);
    CHECK(pool.available == 100);
    CHECK(plan_reservation({3, 900}, 3, 1000, 500)->amount == 100);
    CHECK_FALSE(plan_reservation({3, 1000}, 2, 1000, 500));
}
