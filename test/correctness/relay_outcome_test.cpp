#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/relay_budget.h"
#include "policy/relay_outcome.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

send_history arbitrary_history() {
    send_history history;
    history.repeat = static_cast<state::repeat_rule>(*rc::gen::inRange(0, 3));
    history.max_attempts = *rc::gen::inRange(1, 4);
    history.answer_begun = *rc::gen::arbitrary<bool>();
    const int sends = *rc::gen::inRange(0, 6);
    for (int i = 0; i < sends; ++i) {
        history.sends.push_back({"u" + std::to_string(i), static_cast<send_result>(*rc::gen::inRange(0, 5))});
    }
    return history;
}

} // namespace

TEST_CASE("a final error promises that a request did not run only where no send can have run") {
    // Guards against an order that is placed twice because its caller was told to come back.
    CHECK(rc::check([] {
        const auto history = arbitrary_history();
        const auto cause = static_cast<end_cause>(*rc::gen::inRange(0, 5));
        const auto& answer = core::error_answer_for(final_error(history, cause));
        const bool promises = answer.execution == core::execution::not_run;
        RC_ASSERT(promises == never_ran(history));
    }));
}

TEST_CASE("a request that may run once is sent again only where no send can have run") {
    // Guards against a repeat after a lost answer.
    CHECK(rc::check([] {
        auto history = arbitrary_history();
        history.repeat = state::repeat_rule::at_most_once;
        if (!never_ran(history)) {
            RC_ASSERT(!may_send_again(history));
        }
    }));
}

TEST_CASE("no request reaches more upstreams than its route allows") {
    CHECK(rc::check([] {
        const auto history = arbitrary_history();
        if (may_send_again(history)) {
            RC_ASSERT(attempts_used(history) < history.max_attempts);
        }
    }));
}

TEST_CASE("a plain request isn't repeated once its caller has a part of the answer") {
    // Guards against two answers joined into one.
    send_history history;
    history.repeat = state::repeat_rule::idempotent;
    history.max_attempts = 3;
    history.answer_begun = true;
    history.sends = {{"u", send_result::unknown}};
    CHECK_FALSE(may_send_again(history));
    history.repeat = state::repeat_rule::resumable;
    CHECK(may_send_again(history));
}

TEST_CASE("the repeats of all nodes stay below the fleet's bound") {
    // Guards against retry storms when upstreams fail for everyone: each node takes its part only.
    constexpr int nodes = 7;
    const repeat_budget_settings settings{0.9, 54, core::milliseconds(10000), 0.7, 20000};
    std::vector<repeat_budget> budgets(nodes);
    int requests = 0;
    int repeats = 0;
    for (int ms = 0; ms < 10000; ms += 20) {
        auto& budget = budgets[std::size_t(ms / 20 % nodes)];
        count_request(budget, settings, at(ms));
        ++requests;
        for (int i = 0; i < 5; ++i) {
            repeats += take_repeat(budget, settings, nodes, at(ms)) ? 1 : 0;
        }
    }
    CHECK(repeats <= settings.ratio * requests + settings.slack);
    CHECK(repeats > 0);
}

TEST_CASE("a budget recovers when its window has passed") {
    const repeat_budget_settings settings{0.5, 2, core::milliseconds(1000), 1.0, 20000};
    repeat_budget budget;
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK_FALSE(take_repeat(budget, settings, 1, at(10)));
    CHECK(take_repeat(budget, settings, 1, at(1100)));
}

TEST_CASE("repeats by choice leave a part of the bound to requests that fail") {
    // Dropped answers once used up the bound; the request whose answer was dropped then failed as well.
    const repeat_budget_settings settings{0.5, 10, core::milliseconds(1000), 1.0, 20000, 0.8};
    repeat_budget budget;
    int taken = 0;
    while (may_repeat_by_choice(budget, settings, 1, at(0))) {
        // What may be repeated by choice can be taken.
        REQUIRE(take_repeat(budget, settings, 1, at(0)));
        ++taken;
    }
    CHECK(taken == 8);
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK(may_repeat_by_choice(budget, settings, 1, at(1100)));
}
