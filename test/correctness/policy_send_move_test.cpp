#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/repeat_budget.h"
#include "policy/send_move.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using test::at;

namespace {

move_conditions arbitrary_conditions() {
    move_conditions conditions;
    conditions.stalled = *rc::gen::arbitrary<bool>();
    conditions.repeatable = *rc::gen::arbitrary<bool>();
    conditions.admitted = *rc::gen::arbitrary<bool>();
    conditions.crashes_upstreams = *rc::gen::arbitrary<bool>();
    conditions.within_budget = *rc::gen::arbitrary<bool>();
    conditions.has_upstream = *rc::gen::arbitrary<bool>();
    conditions.time_left = milliseconds(*rc::gen::inRange(0, 100));
    conditions.expected = milliseconds(*rc::gen::inRange(0, 100));
    return conditions;
}

} // namespace

TEST_CASE("a stalled send is given up only if nothing speaks against its continuation") {
    // Guards against an answer that is ended while its upstream works on it and that nothing may continue.
    CHECK(rc::check([] {
        const auto conditions = arbitrary_conditions();
        const bool certain = conditions.stalled && conditions.repeatable && conditions.admitted &&
                             !conditions.crashes_upstreams && conditions.within_budget &&
                             conditions.has_upstream && conditions.expected < conditions.time_left;
        RC_ASSERT((judge_move(conditions) == move_verdict::move) == certain);
    }));
}

TEST_CASE("a send is stalled after its longest pause, or earlier if its upstream is unreachable") {
    const stream_pauses pauses{milliseconds(1300), milliseconds(4000)};
    CHECK_FALSE(is_stalled({milliseconds(1200), pauses, true, false}));
    CHECK(is_stalled({milliseconds(1400), pauses, true, false}));
    CHECK_FALSE(is_stalled({milliseconds(1400), pauses, false, false}));
    CHECK_FALSE(is_stalled({milliseconds(4000), pauses, false, false}));
    CHECK(is_stalled({milliseconds(4001), pauses, false, false}));
}

TEST_CASE("a send whose bytes wait to be read has not stalled") {
    // Guards against a stream that is given up for the slowness of its caller.
    CHECK(rc::check([] {
        const milliseconds silence(*rc::gen::inRange(0, 100000));
        const bool unreachable = *rc::gen::arbitrary<bool>();
        RC_ASSERT_FALSE(is_stalled({silence, {milliseconds(1300), milliseconds(4000)}, unreachable, true}));
    }));
}

TEST_CASE("a repeat that was announced as possible is allowed") {
    // A stalled send is given up for a repeat that must then not be refused.
    const repeat_budget_settings settings{0.5, 3, milliseconds(1000), 0.7, 20000};
    repeat_budget budget;
    for (int ms = 0; ms < 5000; ms += 50) {
        if (ms % 150 == 0 && ms < 3000) {
            count_request(budget, settings, at(ms));
        }
        const bool announced = may_repeat(budget, settings, 3, at(ms));
        CHECK(announced == take_repeat(budget, settings, 3, at(ms)));
    }
}
