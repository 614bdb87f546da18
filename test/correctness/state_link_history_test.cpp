#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/link_history.h"

using namespace figspoke::state;

TEST_CASE("a connection never carries two requests with one id") {
    // Guards against a late copy of an answer that is taken for the answer to a second send of its request.
    CHECK(rc::check([] {
        link_history history;
        const auto ids = *rc::gen::container<std::vector<std::string>>(rc::gen::arbitrary<std::string>());
        for (const auto& id : ids) {
            record_request(history, id);
        }
        for (const auto& id : ids) {
            RC_ASSERT(!may_carry(history, id));
        }
    }));
    link_history history;
    record_request(history, "r1");
    CHECK(may_carry(history, "r2"));
}

TEST_CASE("the history of a connection is bounded") {
    // Guards against memory that grows as long as an upstream keeps a connection open.
    link_history history;
    for (std::size_t i = 0; i < max_requests_per_link; ++i) {
        CHECK_FALSE(is_used_up(history));
        record_request(history, std::to_string(i));
    }
    CHECK(is_used_up(history));
}
