#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/shared_document.h"
#include "state/upstream_registry.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::state;
using core::milliseconds;
using test::at;

namespace {

document_content content(std::uint64_t revision, std::uint64_t hash) {
    document_content made;
    made.at = revision;
    made.hash = hash;
    return made;
}

upstream_entry entry(const std::string& id, bool draining = false) {
    upstream_entry made;
    made.id = id;
    made.service = "s";
    made.address = "127.0.0.1:1";
    made.draining = draining;
    return made;
}

} // namespace

TEST_CASE("a configuration never goes back to an older revision") {
    shared_document document;
    CHECK(take_content(document, content(10, 1), at(0)));
    CHECK_FALSE(take_content(document, content(9, 2), at(50)));
    CHECK(document.content->hash == 1);
    CHECK(document.confirmed_at == at(0));
    CHECK(take_content(document, content(11, 2), at(60)));
}

TEST_CASE("a beat that waited in a queue doesn't make a confirmation look fresh") {
    // A frozen node finds old beats in its socket when it wakes; believing their age would let a withdrawn
    // key work on.
    shared_document document;
    take_content(document, content(10, 1), at(0));
    const clock_echo echo{at(100), milliseconds(20)};
    const document_claim claim{10, 1, milliseconds(30)};
    CHECK(merge_claim(document, claim, echo, at(5000)) == claim_verdict::confirmed);
    CHECK(document.confirmed_at == at(90));
}

TEST_CASE("a peer's confirmation is never later than the moment at which the peer confirmed") {
    CHECK(rc::check([] {
        // The peer's clock differs by an unknown offset; delays of the network are arbitrary.
        const int sent_by_us = *rc::gen::inRange(0, 1000);
        const int there = *rc::gen::inRange(0, 500);
        const int held = *rc::gen::inRange(0, 1000);
        const int back = *rc::gen::inRange(0, 5000);
        const int confirmed = *rc::gen::inRange(-500, sent_by_us + there + held + 1);
        const int beat_sent = sent_by_us + there + held;
        shared_document document;
        take_content(document, content(1, 1), at(-1000));
        merge_claim(document, {1, 1, milliseconds(beat_sent - confirmed)},
                    {at(sent_by_us), milliseconds(held)}, at(beat_sent + back));
        RC_ASSERT(document.confirmed_at <= at(confirmed));
    }));
}

TEST_CASE("newer content of a peer is fetched, older content is ignored") {
    shared_document document;
    const clock_echo echo{at(0), milliseconds(0)};
    CHECK(merge_claim(document, {5, 1, milliseconds(0)}, echo, at(1)) == claim_verdict::newer);
    take_content(document, content(5, 1), at(0));
    CHECK(merge_claim(document, {6, 2, milliseconds(0)}, echo, at(1)) == claim_verdict::newer);
    CHECK(merge_claim(document, {4, 2, milliseconds(0)}, echo, at(1)) == claim_verdict::nothing);
    CHECK(merge_claim(document, {0, 0, milliseconds(0)}, echo, at(1)) == claim_verdict::nothing);
}

TEST_CASE("one node reads while news arrive, and the next ranks take over in turn") {
    shared_document document;
    const reading_schedule schedule;
    CHECK(next_read(document, schedule, 3) == core::steady_time::min());
    take_content(document, content(5, 1), at(0));
    CHECK(next_read(document, schedule, 0) == at(0) + schedule.interval);
    CHECK(next_read(document, schedule, 1) > next_read(document, schedule, 0));
    CHECK(next_read(document, schedule, 2) > next_read(document, schedule, 1));
    CHECK(next_read(document, schedule, 300) == next_read(document, schedule, 4));
    // The change bound of two seconds leaves room for one call after the last takeover.
    CHECK(next_read(document, schedule, 300) < at(2000));
}

TEST_CASE("further beats about one confirmation don't put off the next read") {
    // Found on a heavy day: each beat tightened the bound a little, which counted as news, and a change took
    // effect after more than two seconds because no other node took over from a reader that was turned away.
    shared_document document;
    const reading_schedule schedule;
    // The reader confirmed at 0. This node knows it by ever tighter bounds, the first of them 10 ms too
    // early.
    take_content(document, content(5, 1), at(-10));
    const auto due = at(0) + schedule.interval + schedule.patience;
    for (int i = 1; i <= 8; ++i) {
        const int beat_sent = 250 * i;
        const int way = 10 - i;
        merge_claim(document, {5, 1, milliseconds(beat_sent)}, {at(beat_sent - way), milliseconds(0)},
                    at(beat_sent + 1));
        CHECK(document.confirmed_at == at(-way));
        CHECK(next_read(document, schedule, 1) <= due);
    }
}

TEST_CASE("an entry that disappears while the list is confirmed is gone at once") {
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b")}, at(0), at(0), {});
    const auto changes = apply_list(registry, {entry("a")}, at(900), at(900), {});
    CHECK(changes.removed == std::vector<std::string>{"b"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}

TEST_CASE("entries that lapse while the store is away are kept until they had time to return") {
    // An outage makes leases run out though the upstreams serve.
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b"), entry("c")}, at(0), at(0), {});
    apply_list(registry, {}, at(6000), at(6000), {});
    CHECK(serving_upstreams(registry, "s").size() == 3);
    apply_list(registry, {entry("a")}, at(7000), at(7000), {});
    CHECK(serving_upstreams(registry, "s").size() == 3);
    const auto changes = confirm_list(registry, at(8100), at(8100), {});
    CHECK(changes.removed == std::vector<std::string>{"b", "c"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}

TEST_CASE("a draining upstream gets nothing new, and a restart under the same id is noticed") {
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b")}, at(0), at(0), {});
    auto restarted = entry("b");
    restarted.incarnation = 5;
    const auto changes = apply_list(registry, {entry("a", true), restarted}, at(900), at(900), {});
    CHECK(changes.draining == std::vector<std::string>{"a"});
    CHECK(changes.restarted == std::vector<std::string>{"b"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}
