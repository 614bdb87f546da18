#include <doctest/doctest.h>

#include "policy/rollout_orders.h"

using namespace figspoke;
using namespace figspoke::policy;
using state::store_era;
using state::store_position;

namespace {

const store_era first_era{1, 0};
const store_era second_era{2, 0};

rollout_order order(const store_position& position, const std::string& target = "v2", int seconds = 30) {
    return {"s", target, core::seconds(seconds), position};
}

} // namespace

TEST_CASE("in one era of the store a later order is a new one, and an earlier one is ignored") {
    const auto known = order({first_era, 50});
    CHECK(compare_orders(known, order({first_era, 50})) == order_change::none);
    CHECK(compare_orders(known, order({first_era, 49}, "v3")) == order_change::none);
    CHECK(compare_orders(known, order({first_era, 51})) == order_change::replaced);
    CHECK(compare_orders(known, order({first_era, 51}, "v3")) == order_change::replaced);
}

TEST_CASE("an order that is written again after a return of the store is the same one") {
    const auto known = order({first_era, 50});
    for (const std::uint64_t revision : {30, 50, 70}) {
        CHECK(compare_orders(known, order({second_era, revision})) == order_change::continued);
    }
    CHECK(compare_orders(order({{1, 0}, 50}), order({{1, 1}, 30})) == order_change::continued);
}

TEST_CASE("a new order is obeyed after a return although its revision is lower") {
    const auto known = order({first_era, 50});
    CHECK(compare_orders(known, order({second_era, 30}, "v3")) == order_change::replaced);
    CHECK(compare_orders(known, order({second_era, 30}, "v2", 60)) == order_change::replaced);
    CHECK(compare_orders(order({second_era, 30}), known) == order_change::none);
    // An order of an unknown position was written before the return.
    CHECK(compare_orders(known, order({}, "v3")) == order_change::none);
}

TEST_CASE("a status belongs to its order, and after a return to the order that was written again") {
    const auto known = order({second_era, 30});
    CHECK(belongs_to({"v2", 30, second_era}, known));
    CHECK_FALSE(belongs_to({"v2", 29, second_era}, known));
    CHECK(belongs_to({"v2", 50, first_era}, known));
    CHECK_FALSE(belongs_to({"v3", 50, first_era}, known));
    CHECK_FALSE(belongs_to({"v2", 30, store_era{3, 0}}, known));
    // A writer that knows of no eras.
    CHECK(belongs_to({"v2", 30, std::nullopt}, known));
    CHECK_FALSE(belongs_to({"v2", 50, std::nullopt}, known));
    CHECK(names_position({"v2", 30, second_era}, known));
    CHECK_FALSE(names_position({"v2", 30, first_era}, known));
}
