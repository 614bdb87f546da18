#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/stop_plan.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using core::milliseconds;
using test::at;

TEST_CASE("a stopping node accepts late requests only if their deadlines pass before its end") {
    // Guards against requests on kept connections that are passed on and cut when the process ends.
    const auto plan = plan_stop(at(1000), milliseconds(8000), {});
    CHECK(plan.accept_until == at(3400));
    CHECK(plan.answer_until == at(8000));
    CHECK(plan.end == at(8300));
    CHECK(accepts_request(plan, {at(3399), at(23000), false}));
    CHECK_FALSE(accepts_request(plan, {at(3400), at(23000), false}));
    CHECK_FALSE(accepts_request(plan, {at(7000), at(8001), false}));
    CHECK(accepts_request(plan, {at(7000), at(7600), false}));
}

TEST_CASE("the first request of a connection is accepted for a while after the listening socket has closed") {
    // Guards against refusals of requests that were sent in time on connections that a busy node accepts
    // late.
    const auto plan = plan_stop(at(1000), milliseconds(8000), {});
    CHECK(accepts_request(plan, {at(3999), at(23000), true}));
    CHECK_FALSE(accepts_request(plan, {at(4000), at(23000), true}));
}

TEST_CASE("the times of a stop keep their order for any grace period") {
    // Guards against a short grace period that ends requests before the node stops accepting them.
    CHECK(rc::check([] {
        const milliseconds grace(*rc::gen::inRange(0, 60000));
        const auto plan = plan_stop(at(500), grace, {});
        RC_ASSERT(at(500) <= plan.accept_until);
        RC_ASSERT(plan.accept_until <= plan.accept_first_until);
        RC_ASSERT(plan.accept_first_until <= plan.answer_until);
        RC_ASSERT(plan.answer_until <= plan.end);
        RC_ASSERT(plan.end <= at(500) + grace);
    }));
}

TEST_CASE("a long grace period does not make a stopping node accept long requests for longer") {
    // Guards against requests that are accepted seconds after the signal because the grace period is long,
    // and are cut at its end. A request may be cut only if it was sent within 3 s after the signal.
    CHECK(rc::check([] {
        const milliseconds grace(*rc::gen::inRange(0, 120000));
        const auto plan = plan_stop(at(500), grace, {});
        const late_request endless{at(500) + milliseconds(3000), at(1000) + grace, false};
        RC_ASSERT_FALSE(accepts_request(plan, endless));
        const late_request endless_first{at(500) + milliseconds(3000), at(1000) + grace, true};
        RC_ASSERT_FALSE(accepts_request(plan, endless_first));
    }));
}
