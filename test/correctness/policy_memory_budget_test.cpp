#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/memory_budget.h"

using namespace figspoke;
using namespace figspoke::policy;

namespace {

constexpr core::steady_time start{};
constexpr core::milliseconds stalled = 2 * memory_patience;

memory_budget budget_of(std::size_t bytes) {
    memory_limits limits{};
    limits.fill(bytes);
    return memory_budget(limits);
}

memory_reservation hold(memory_budget& budget, std::size_t bytes, bool& gave_up,
                        memory_share share = memory_share::requests) {
    auto reservation = budget.open(share);
    reservation.allow_yield([&gave_up] {
        gave_up = true;
        return true;
    });
    REQUIRE(reservation.resize(bytes, start));
    return reservation;
}

} // namespace

TEST_CASE("the holder that wastes the most bytes and time yields, never one that makes progress") {
    // Guards against a crowd that keeps a node's memory by stopping short of the end of its bodies, and
    // against closing the sound connections beside it.
    const auto now = start + stalled;
    const std::vector<memory_holder> holders = {{1, 1000, start, true},
                                                {2, 4000, start, true},
                                                {3, 9000, now, true},
                                                {4, 9000, start, false},
                                                {5, 0, start, true}};
    CHECK(choose_yielding(holders, {9, 100, false}, now) == 2);
    CHECK(choose_yielding({holders[0], holders[2]}, {9, 100, false}, now) == 1);
    CHECK_FALSE(choose_yielding({holders[2], holders[3], holders[4]}, {9, 100, false}, now));
    CHECK_FALSE(choose_yielding({holders[1]}, {2, 100, false}, now));
}

TEST_CASE("among answers that all make progress the largest yields to a smaller one") {
    // Guards against engines that send without end beside sound answers.
    const std::vector<memory_holder> holders = {{1, 5000, start, true}, {2, 9000, start, true}};
    CHECK(choose_yielding(holders, {3, 100, true}, start) == 2);
    CHECK_FALSE(choose_yielding(holders, {3, 9000, true}, start));
}

TEST_CASE("a reservation is refused, or others yield, where the share is exhausted") {
    auto budget = budget_of(100);
    bool first_gave_up = false;
    bool second_gave_up = false;
    auto first = hold(budget, 60, first_gave_up);
    auto second = hold(budget, 40, second_gave_up);
    CHECK_FALSE(second.resize(41, start));
    CHECK(budget.use(memory_share::requests).refused == 1);
    CHECK(budget.use(memory_share::connections).used == 0);
    CHECK(second.resize(90, start + stalled));
    CHECK(first_gave_up);
    CHECK_FALSE(second_gave_up);
    CHECK_FALSE(first.resize(61, start + stalled));
    CHECK(budget.use(memory_share::requests).used == 90);
    CHECK(budget.use(memory_share::requests).yielded == 1);
}

TEST_CASE("a holder that declines, or that an upstream may have begun, keeps its bytes") {
    auto budget = budget_of(100);
    bool gave_up = false;
    auto begun = hold(budget, 50, gave_up);
    begun.forbid_yield();
    auto declining = budget.open(memory_share::requests);
    declining.allow_yield([] { return false; });
    REQUIRE(declining.resize(50, start));
    auto other = budget.open(memory_share::requests);
    CHECK_FALSE(other.resize(1, start + stalled));
    CHECK_FALSE(gave_up);
}

TEST_CASE("every byte is given back, whatever holders do") {
    // Guards against a budget that shrinks with time, until a node refuses everybody.
    CHECK(rc::check([] {
        auto budget = budget_of(1000);
        {
            std::vector<memory_reservation> held;
            auto now = start;
            const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 700)));
            for (const auto& [step, value] : steps) {
                now += core::milliseconds(value);
                const auto at = held.empty() ? 0 : std::size_t(value) % held.size();
                if (step == 0 || held.empty()) {
                    held.push_back(budget.open(memory_share::answers));
                    held.back().allow_yield([value = value] { return value % 3 != 0; });
                } else if (step == 1) {
                    held.at(at).resize(std::size_t(value), now);
                } else if (step == 2) {
                    held.erase(held.begin() + std::ptrdiff_t(at));
                } else {
                    auto moved = std::move(held.at(at));
                    held.at(at) = std::move(moved);
                    held.at(at).progress(now);
                }
                RC_ASSERT(budget.use(memory_share::answers).used <= 1000U);
            }
        }
        RC_ASSERT(budget.use(memory_share::answers).used == 0U);
    }));
}
