#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/store_position.h"

using namespace figspoke::state;

namespace {

store_position position(std::uint16_t stated, std::uint8_t detected, std::uint64_t revision) {
    return {{stated, detected}, revision};
}

} // namespace

TEST_CASE("a lower revision of a later era isn't taken for an older position") {
    CHECK(position(1, 0, 500) < position(2, 0, 20));
    CHECK(position(1, 0, 500) < position(1, 1, 20));
    CHECK(position(1, 1, 20) < position(1, 1, 21));
}

TEST_CASE("a packed position keeps its order, and releases without eras read it as a revision") {
    CHECK(pack_position(position(0, 0, 134)) == 134);
    CHECK(rc::check([] {
        const auto draw = [] {
            return position(*rc::gen::arbitrary<std::uint16_t>(), *rc::gen::arbitrary<std::uint8_t>(),
                            *rc::gen::inRange<std::uint64_t>(0, max_packed_revision));
        };
        const auto a = draw();
        const auto b = draw();
        RC_ASSERT(unpack_position(pack_position(a)) == a);
        RC_ASSERT((a < b) == (pack_position(a) < pack_position(b)));
    }));
}

TEST_CASE("a store that comes back from an older copy is noticed with and without a stated era") {
    const auto known = position(3, 0, 120);
    CHECK(classify_answer(known, 4, 90).age == answer_age::new_era);
    CHECK(classify_answer(known, 4, 130).era == store_era{4, 0});
    CHECK(classify_answer(known, 7, std::nullopt).era == store_era{7, 0});
    CHECK(classify_answer(known, std::nullopt, 119).era == store_era{3, 1});
    CHECK(classify_answer(known, 3, 119).age == answer_age::new_era);
    CHECK(classify_answer(known, 3, 120).age == answer_age::same_era);
    CHECK(classify_answer(known, std::nullopt, std::nullopt).age == answer_age::same_era);
}

TEST_CASE("a late answer of an earlier era isn't taken for a return of the store") {
    CHECK(classify_answer(position(3, 0, 120), 2, 500).age == answer_age::outdated);
}

TEST_CASE("an answer that was sent before a return and arrives after it is outdated") {
    // A peer has told of the return while the call was under way.
    const auto sent = position(0, 0, 120);
    const auto now = position(0, 1, 90);
    CHECK(classify_arrival(sent, now, std::nullopt, 121).age == answer_age::outdated);
    CHECK(classify_arrival(sent, now, std::nullopt, 91).era == now.era);
    CHECK(classify_arrival(sent, sent, std::nullopt, 121).age == answer_age::same_era);
}

TEST_CASE("a store that goes on stating a lower era is followed by its revisions") {
    lower_statements lower;
    const auto known = position(3, 0, 120);
    CHECK(accept_statement(lower, known, 1) == 1);
    CHECK(accept_statement(lower, known, 1) == 1);
    CHECK_FALSE(accept_statement(lower, known, 1).has_value());
    CHECK_FALSE(accept_statement(lower, known, 1).has_value());
    CHECK(accept_statement(lower, known, 3) == 3);
    CHECK(accept_statement(lower, known, 1) == 1);
}

TEST_CASE("only a later era than the known one shows that the store has come back") {
    store_position known;
    CHECK_FALSE(raise_position(known, position(3, 0, 120)));
    CHECK_FALSE(raise_position(known, position(3, 0, 140)));
    CHECK_FALSE(raise_position(known, position(2, 0, 500)));
    CHECK(raise_position(known, position(4, 0, 90)));
    CHECK(known == position(4, 0, 90));
}

TEST_CASE("a refusal as the first answer doesn't hide the next return") {
    // A refusal names an era and no revision.
    CHECK(classify_answer(position(4, 0, 0), 5, 80).age == answer_age::new_era);
}

TEST_CASE("the first answer that a node reads is no return of the store") {
    const auto first = classify_answer({}, 9, 40);
    CHECK(first.age == answer_age::same_era);
    CHECK(first.era == store_era{9, 0});
}
