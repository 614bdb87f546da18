#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/relay_outcome.h"
#include "policy/repeat_budget.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

send_history arbitrary_history() {
    send_history history;
    history.retry = static_cast<state::retry_policy>(*rc::gen::inRange(0, 3));
    history.max_attempts = *rc::gen::inRange(1, 4);
    history.answer_begun = *rc::gen::arbitrary<bool>();
    const int sends = *rc::gen::inRange(0, 6);
    for (int i = 0; i < sends; ++i) {
        history.sends.push_back({"u" + std::to_string(i), static_cast<send_result>(*rc::gen::inRange(0, 5))});
    }
    return history;
}

} // namespace

TEST_CASE("a final error says that the request did not run exactly where no send can have run it") {
    // A wrong "not run" makes the caller send a request again that did run, such as an order.
    CHECK(rc::check([] {
        const auto history = arbitrary_history();
        const auto cause = static_cast<end_cause>(*rc::gen::inRange(0, 6));
        const auto& answer = core::error_answer_for(final_error(history, cause));
        const bool says_not_run = answer.execution == core::execution::not_run;
        RC_ASSERT(says_not_run == never_ran(history));
    }));
}

TEST_CASE("a request that may run at most once is sent again only where no send can have run it") {
    // If the answer of a send is lost, the request may have run.
    CHECK(rc::check([] {
        auto history = arbitrary_history();
        history.retry = state::retry_policy::at_most_once;
        if (!never_ran(history)) {
            RC_ASSERT(!may_send_again(history));
        }
    }));
}

TEST_CASE("no request has more attempts than its route allows") {
    CHECK(rc::check([] {
        const auto history = arbitrary_history();
        if (may_send_again(history)) {
            RC_ASSERT(attempts_used(history) < history.max_attempts);
        }
    }));
}

TEST_CASE("only a resumable request is repeated once its caller has a part of the answer") {
    // The caller would receive parts of two answers as one.
    send_history history;
    history.retry = state::retry_policy::idempotent;
    history.max_attempts = 3;
    history.answer_begun = true;
    history.sends = {{"u", send_result::unknown}};
    CHECK_FALSE(may_send_again(history));
    history.retry = state::retry_policy::resumable;
    CHECK(may_send_again(history));
}

TEST_CASE("the repeats of all nodes together stay within the bound of the fleet") {
    // Guards against retry storms when upstreams fail on all nodes: each node uses only its share of the
    // bound.
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

TEST_CASE("a repeat budget recovers after its window") {
    const repeat_budget_settings settings{0.5, 2, core::milliseconds(1000), 1.0, 20000};
    repeat_budget budget;
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK_FALSE(take_repeat(budget, settings, 1, at(10)));
    CHECK(take_repeat(budget, settings, 1, at(1100)));
}

TEST_CASE("optional repeats leave a part of the bound for requests that fail") {
    // If dropped answers use up the bound, the requests whose answers were dropped fail as well.
    const repeat_budget_settings settings{0.5, 10, core::milliseconds(1000), 1.0, 20000, 0.8};
    repeat_budget budget;
    int taken = 0;
    while (may_repeat_optionally(budget, settings, 1, at(0))) {
        // A repeat that is allowed as optional is within the bound for all repeats.
        REQUIRE(take_repeat(budget, settings, 1, at(0)));
        ++taken;
    }
    CHECK(taken == 8);
    CHECK(take_repeat(budget, settings, 1, at(0)));
    CHECK(may_repeat_optionally(budget, settings, 1, at(1100)));
}
