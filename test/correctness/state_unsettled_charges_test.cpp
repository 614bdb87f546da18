#include <doctest/doctest.h>

#include "state/answer_cache.h"
#include "state/charge_copies.h"
#include "state/conversation_token.h"
#include "state/unsettled_charges.h"

using namespace figspoke::state;
using figspoke::core::milliseconds;
using figspoke::core::steady_time;

TEST_CASE("unsettled charges are bounded, numbered for each shard and sent until settled") {
    // Guards against charges that are lost, that share a sequence number or that exceed the limit.
    unsettled_charges unsettled;
    unsettled.writer = "a";
    unsettled.limits.max_charges = 2;
    REQUIRE(reserve_charge(unsettled));
    REQUIRE(reserve_charge(unsettled));
    CHECK(reserve_charge(unsettled).error().kind == figspoke::core::error_kind::unsettled_limit);
    CHECK(add_charge(unsettled, 1, {}).sequence == 1);
    CHECK(add_charge(unsettled, 2, {}).sequence == 1);
    CHECK_FALSE(reserve_charge(unsettled));
    const steady_time now;
    CHECK(charges_to_send(unsettled, 1, 10, now).size() == 1);
    CHECK(charges_to_send(unsettled, 1, 10, now).empty());
    CHECK(charges_to_send(unsettled, 1, 10, now + milliseconds(1000)).size() == 1);
    settle_charge(unsettled, 1, 1);
    settle_charge(unsettled, 1, 1);
    CHECK(unsettled.charges == 1);
    REQUIRE(reserve_charge(unsettled));
    CHECK(add_charge(unsettled, 1, {}).sequence == 2);
}

TEST_CASE("a peer sends the copies of an ended writer with the writer's own sequence numbers") {
    // Guards against charges that are lost when their node fails, and copies that accumulate without limit.
    charge_copies copies;
    copies.max_copies = 2;
    charge value;
    value.writer = "dead";
    value.sequence = 5;
    CHECK(keep_copy(copies, {3, value}));
    CHECK(keep_copy(copies, {3, value}));
    value.writer = "alive";
    CHECK(keep_copy(copies, {3, value}));
    value.sequence = 6;
    CHECK_FALSE(keep_copy(copies, {3, value}));
    const auto due = copies_to_send(
        copies, [](auto writer) { return writer == "dead"; }, 10);
    REQUIRE(due.size() == 1);
    CHECK(due[0].shard == 3);
    CHECK(due[0].value.sequence == 5);
    drop_copy(copies, "dead", 3, 5);
    CHECK(copies.count == 1);
}

TEST_CASE("a repeated request receives the cached answer until it expires or is evicted") {
    // Guards against running a request again while its answer is cached, and against unbounded memory use.
    answer_cache cache;
    cache.limits.max_bytes = 10;
    const steady_time now;
    CHECK(begin_answer(cache, "k1", "body", "r1", now).state == answer_state::registered);
    CHECK(begin_answer(cache, "k1", "body", "r2", now).state == answer_state::in_flight);
    CHECK(begin_answer(cache, "k1", "other", "r2", now).state == answer_state::key_reused);
    finish_answer(cache, "k1", "123456", now);
    const auto found = begin_answer(cache, "k1", "body", "r2", now);
    CHECK(found.state == answer_state::finished);
    CHECK(*found.bytes == "123456");
    CHECK(found.request_id == "r1");
    begin_answer(cache, "k2", "body", "r3", now);
    finish_answer(cache, "k2", "12345", now);
    CHECK(begin_answer(cache, "k1", "body", "r4", now).state == answer_state::registered);
    abandon_answer(cache, "k1");
    const steady_time later = now + std::chrono::seconds(60);
    CHECK(begin_answer(cache, "k2", "body", "r5", later).state == answer_state::registered);
    CHECK(cache.bytes == 0);
}

TEST_CASE("a conversation token is accepted only unchanged and for its account") {
    // Guards against a caller that changes a token to move a conversation to another version or account.
    const std::string token = sign_conversation_token("secret", {"acme", "c.1", "small@1"});
    const auto pin = verify_conversation_token("secret", "acme", token);
    REQUIRE(pin);
    CHECK(pin->conversation == "c.1");
    CHECK(pin->version == "small@1");
    CHECK_FALSE(verify_conversation_token("secret", "globex", token));
    CHECK_FALSE(verify_conversation_token("other", "acme", token));
    CHECK_FALSE(verify_conversation_token("", "acme", sign_conversation_token("", {"acme", "c", "v"})));
    for (std::size_t i = 0; i < token.size(); ++i) {
        std::string changed = token;
        changed[i] = changed[i] == '1' ? '2' : '1';
        CHECK_FALSE(verify_conversation_token("secret", "acme", changed));
    }
}
