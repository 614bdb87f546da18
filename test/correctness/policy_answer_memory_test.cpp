#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/answer_memory.h"

using namespace figspoke::policy;

TEST_CASE("ordinary answers take nothing from the budget") {
    // Guards against a lock and a search for each answer.
    CHECK(memory_of_head(4096) == 0);
    CHECK(memory_of_body(16384) == 0);
}

TEST_CASE("a long head takes all of its copies from the budget, a long body its length") {
    // Guards against heads that fill the memory while the budget counts their bytes on the wire.
    CHECK(rc::check([] {
        const auto length = *rc::gen::inRange<std::size_t>(4097, 1U << 20U);
        RC_ASSERT(memory_of_head(length) >= 5 * length);
        RC_ASSERT(memory_of_head(length) <= 5 * length + 65536);
    }));
    CHECK(rc::check([] {
        const auto length = *rc::gen::inRange<std::size_t>(16385, 1U << 24U);
        RC_ASSERT(memory_of_body(length) >= length);
        RC_ASSERT(memory_of_body(length) <= length + 65536);
    }));
}
