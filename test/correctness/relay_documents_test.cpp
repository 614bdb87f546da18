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

store_position position(std::uint64_t revision) {
    return {{}, revision};
}

document_content content(std::uint64_t revision, std::uint64_t hash) {
    document_content result;
    result.at.revision = revision;
    result.hash = hash;
    return result;
}

upstream_entry entry(const std::string& id, bool draining = false) {
    upstream_entry result;
    result.id = id;
    result.service = "s";
    result.address = "127.0.0.1:1";
    result.draining = draining;
    return result;
}

} // namespace

TEST_CASE("a configuration never goes back to an older revision") {
    shared_document document;
    CHECK(adopt_content(document, content(10, 1), at(0)));
    CHECK_FALSE(adopt_content(document, content(9, 2), at(50)));
    CHECK(document.content->hash == 1);
    CHECK(document.confirmed_at == at(0));
    CHECK(adopt_content(document, content(11, 2), at(60)));
}

TEST_CASE("a heartbeat that was delayed in a queue doesn't make a confirmation look fresh") {
    // A node that resumes after a pause finds old heartbeats in its socket. If it took the ages in them as of
    // now, a withdrawn key would remain valid for longer.
    shared_document document;
    adopt_content(document, content(10, 1), at(0));
    const clock_echo echo{at(100), milliseconds(20)};
    const document_claim claim{position(10), 1, milliseconds(30)};
    CHECK(merge_claim(document, claim, echo, at(5000)) == claim_verdict::confirmed);
    CHECK(document.confirmed_at == at(90));
}

TEST_CASE("an adopted confirmation is never later than the peer's own confirmation") {
    CHECK(rc::check([] {
        // The offset of the peer's clock is unknown; the network delays are arbitrary.
        const int stamp_sent = *rc::gen::inRange(0, 1000);
        const int delay_to_peer = *rc::gen::inRange(0, 500);
        const int held = *rc::gen::inRange(0, 1000);
        const int delay_from_peer = *rc::gen::inRange(0, 5000);
        const int peer_confirmed = *rc::gen::inRange(-500, stamp_sent + delay_to_peer + held + 1);
        const int heartbeat_sent = stamp_sent + delay_to_peer + held;
        shared_document document;
        adopt_content(document, content(1, 1), at(-1000));
        merge_claim(document, {position(1), 1, milliseconds(heartbeat_sent - peer_confirmed)},
                    {at(stamp_sent), milliseconds(held)}, at(heartbeat_sent + delay_from_peer));
        RC_ASSERT(document.confirmed_at <= at(peer_confirmed));
    }));
}

TEST_CASE("newer content of a peer is fetched, older content is ignored") {
    shared_document document;
    const clock_echo echo{at(0), milliseconds(0)};
    CHECK(merge_claim(document, {position(5), 1, milliseconds(0)}, echo, at(1)) == claim_verdict::newer);
    adopt_content(document, content(5, 1), at(0));
    CHECK(merge_claim(document, {position(6), 2, milliseconds(0)}, echo, at(1)) == claim_verdict::newer);
    CHECK(merge_claim(document, {position(4), 2, milliseconds(0)}, echo, at(1)) == claim_verdict::no_change);
    CHECK(merge_claim(document, {position(0), 0, milliseconds(0)}, echo, at(1)) == claim_verdict::no_change);
}

TEST_CASE("the first node reads while confirmations arrive, and otherwise the next ranks take over in turn") {
    shared_document document;
    const read_schedule schedule;
    CHECK(next_read_time(document, schedule, 3) == core::steady_time::min());
    adopt_content(document, content(5, 1), at(0));
    CHECK(next_read_time(document, schedule, 0) == at(0) + schedule.interval);
    CHECK(next_read_time(document, schedule, 1) > next_read_time(document, schedule, 0));
    CHECK(next_read_time(document, schedule, 2) > next_read_time(document, schedule, 1));
    CHECK(next_read_time(document, schedule, 300) == next_read_time(document, schedule, 4));
    // A change must take effect within two seconds, which leaves time for one call after the last takeover.
    CHECK(next_read_time(document, schedule, 300) < at(2000));
}

TEST_CASE("further heartbeats about one confirmation don't postpone the next read") {
    // Guards against a read that is postponed by each heartbeat that tightens the bound of the same
    // confirmation a little. The store refused the reader under high load, no other node took over from it,
    // and a change took effect after more than two seconds.
    shared_document document;
    const read_schedule schedule;
    // The reader confirmed at 0. This node learns ever tighter bounds of that time, the first of them 10 ms
    // too early.
    adopt_content(document, content(5, 1), at(-10));
    const auto due = at(0) + schedule.interval + schedule.takeover_delay;
    for (int i = 1; i <= 8; ++i) {
        const int heartbeat_sent = 250 * i;
        const int delay = 10 - i;
        merge_claim(document, {position(5), 1, milliseconds(heartbeat_sent)},
                    {at(heartbeat_sent - delay), milliseconds(0)}, at(heartbeat_sent + 1));
        CHECK(document.confirmed_at == at(-delay));
        CHECK(next_read_time(document, schedule, 1) <= due);
    }
}

TEST_CASE("an entry that disappears while the list is confirmed is removed at once") {
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b")}, {{}, at(0)}, at(0), {});
    const auto changes = apply_list(registry, {entry("a")}, {{}, at(900)}, at(900), {});
    CHECK(changes.removed == std::vector<std::string>{"b"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}

TEST_CASE("entries that expire during an outage of the store are kept until they had time to return") {
    // During an outage leases expire although the upstreams still serve.
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b"), entry("c")}, {{}, at(0)}, at(0), {});
    apply_list(registry, {}, {{}, at(6000)}, at(6000), {});
    CHECK(serving_upstreams(registry, "s").size() == 3);
    apply_list(registry, {entry("a")}, {{}, at(7000)}, at(7000), {});
    CHECK(serving_upstreams(registry, "s").size() == 3);
    const auto changes = confirm_list(registry, {{}, at(8100)}, at(8100), {});
    CHECK(changes.removed == std::vector<std::string>{"b", "c"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}

TEST_CASE("a draining upstream gets no new requests, and a restart under the same id is detected") {
    upstream_registry registry;
    apply_list(registry, {entry("a"), entry("b")}, {{}, at(0)}, at(0), {});
    auto restarted = entry("b");
    restarted.incarnation = 5;
    const auto changes = apply_list(registry, {entry("a", true), restarted}, {{}, at(900)}, at(900), {});
    CHECK(changes.draining == std::vector<std::string>{"a"});
    CHECK(changes.restarted == std::vector<std::string>{"b"});
    CHECK(serving_upstreams(registry, "s").size() == 1);
}
