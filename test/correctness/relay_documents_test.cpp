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

document_item config(std::uint64_t version, std::uint64_t revision, const std::string& value) {
    return {"configuration", value, revision, version, false};
}

document_item order(const std::string& key, std::uint64_t revision) {
    return {key, "order", revision, std::nullopt, false};
}

document_content read_at(std::uint16_t era, std::uint64_t revision, std::vector<document_item> items) {
    document_content result;
    result.at = {{era, 0}, revision};
    result.hash = hash_items(items);
    result.items = std::move(items);
    return result;
}

std::optional<std::uint64_t> version_of(const shared_document& document) {
    for (const auto& item : document.content->items) {
        if (item.version) {
            return item.version;
        }
    }
    return std::nullopt;
}

shared_document returned_document(std::uint64_t version) {
    shared_document document;
    document.keeps_items = true;
    adopt_read(document, read_at(1, 100, {config(version, 90, "new"), order("orders/s", 95)}), at(0));
    begin_grace(document, at(1000), milliseconds(2000));
    return document;
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

TEST_CASE("contents with equal revisions and different values aren't taken for the same") {
    // Revisions are given out again when the store comes back from an older copy.
    CHECK(hash_items({config(4, 90, "a")}) != hash_items({config(5, 90, "b")}));
    CHECK(hash_items({order("ab", 1)}) != hash_items({order("a", 1)}));
}

TEST_CASE("a change that the operator makes after the store's return comes into force at a lower revision") {
    auto document = returned_document(4);
    CHECK(adopt_read(document, read_at(2, 60, {config(5, 60, "changed")}), at(1100)));
    CHECK(version_of(document) == 5);
    CHECK(document.content->at == store_position{{2, 0}, 60});
    CHECK(document.current_at == at(1100));
}

TEST_CASE("a configuration older than the known one never comes into force") {
    const std::vector<std::vector<document_item>> copies = {
        {config(3, 50, "old")}, {}, {{"configuration", "unreadable", 50, std::nullopt, false}}};
    for (const auto& copy : copies) {
        for (const std::uint16_t era : {std::uint16_t(1), std::uint16_t(2)}) {
            auto document = returned_document(4);
            adopt_read(document, read_at(era, 150, copy), at(1100));
            CHECK(version_of(document) == 4);
            CHECK(document.content->items.front().kept);
            adopt_read(document, read_at(era, 160, copy), at(9000));
            CHECK(version_of(document) == 4);
        }
    }
}

TEST_CASE("a store without the configuration in force confirms it only while it may be written again") {
    // Otherwise a key that a lost version withdrew would stay valid for good.
    auto document = returned_document(4);
    adopt_read(document, read_at(2, 60, {config(3, 50, "old")}), at(1500));
    CHECK(document.current_at == at(1500));
    adopt_read(document, read_at(2, 61, {config(3, 50, "old")}), at(8000));
    CHECK(document.current_at == at(3000));
    CHECK(document.confirmed_at == at(8000));
    adopt_read(document, read_at(2, 62, {config(4, 62, "new")}), at(8800));
    CHECK(document.current_at == at(8800));
}

TEST_CASE("an unreadable configuration doesn't confirm the one in force") {
    // Guards against an older configuration that stays valid for good while the store holds a malformed one.
    shared_document document;
    adopt_read(document, read_at(0, 90, {config(4, 90, "readable")}), at(0));
    adopt_read(document, read_at(0, 91, {{"configuration", "{", 91, std::nullopt, false}}), at(800));
    CHECK(version_of(document) == 4);
    CHECK(document.current_at == at(0));
    const auto hash = document.content->hash;
    merge_claim(document, {{{}, 92}, hash, milliseconds(0)}, {at(1600), milliseconds(0)}, at(1601));
    CHECK(document.confirmed_at == at(1600));
    CHECK(document.current_at == at(0));
}

TEST_CASE("orders that the store lacks after its return are kept until they had time to be written again") {
    auto document = returned_document(4);
    adopt_read(document, read_at(2, 60, {config(4, 60, "new")}), at(1100));
    REQUIRE(document.content->items.size() == 2);
    CHECK(document.content->items[1].kept);
    adopt_read(document, read_at(2, 61, {config(4, 60, "new"), order("orders/s", 61)}), at(1900));
    CHECK_FALSE(document.content->items[1].kept);
    adopt_read(document, read_at(2, 62, {config(4, 60, "new")}), at(2900));
    CHECK(document.content->items.size() == 2);
    CHECK(adopt_read(document, read_at(2, 62, {config(4, 60, "new")}), at(3700)));
    CHECK(document.content->items.size() == 1);
}

TEST_CASE("an older order in the copy isn't obeyed, and a new one with a lower revision is") {
    const auto changed = [](std::uint64_t revision) {
        return document_item{"orders/s", "other", revision, std::nullopt, false};
    };
    auto document = returned_document(4);
    adopt_read(document, read_at(2, 60, {config(4, 60, "new"), changed(40)}), at(1100));
    CHECK(document.content->items[1].value == "order");
    adopt_read(document, read_at(2, 61, {config(4, 60, "new"), changed(61)}), at(1900));
    CHECK(document.content->items[1].value == "other");
}

TEST_CASE("a claim of another era neither confirms the content nor moves its position") {
    auto document = returned_document(4);
    const auto content = read_at(2, 60, {config(4, 90, "new"), order("orders/s", 95)});
    adopt_read(document, content, at(1100));
    CHECK(merge_claim(document, {{{1, 0}, 120}, content.hash, milliseconds(0)}, {at(2000), milliseconds(0)},
                      at(2001)) == claim_verdict::no_change);
    CHECK(document.confirmed_at == at(1100));
    CHECK(merge_claim(document, {{{3, 0}, 20}, content.hash, milliseconds(0)}, {at(2000), milliseconds(0)},
                      at(2001)) == claim_verdict::newer);
    CHECK(document.content->at == store_position{{2, 0}, 60});
    CHECK_FALSE(adopt_content(document, {content.items, {{3, 0}, 20}, content.hash}, at(2000), at(2000)));
    CHECK(document.content->at == store_position{{3, 0}, 20});
}

TEST_CASE("of two contents at one position the one that was confirmed later comes into force") {
    shared_document document;
    adopt_read(document, read_at(0, 90, {config(4, 90, "a")}), at(0));
    const auto other = read_at(0, 90, {config(4, 90, "b")});
    CHECK(merge_claim(document, {other.at, other.hash, milliseconds(0)}, {at(500), milliseconds(0)},
                      at(501)) == claim_verdict::newer);
    CHECK(adopt_content(document, other, at(499)));
    CHECK(document.content->hash == other.hash);
}

TEST_CASE("a newer version that only a peer in an earlier era knows is fetched, and only once") {
    auto document = returned_document(4);
    adopt_read(document, read_at(2, 60, {config(3, 50, "old")}), at(1100));
    const auto newer = read_at(1, 102, {config(5, 102, "newest")});
    const document_claim claim{newer.at, newer.hash, milliseconds(0)};
    const clock_echo echo{at(900), milliseconds(0)};
    CHECK(merge_claim(document, claim, echo, at(1200)) == claim_verdict::newer);
    CHECK(adopt_content(document, newer, at(900)));
    CHECK(version_of(document) == 5);
    CHECK(document.content->at == store_position{{2, 0}, 60});
    CHECK(merge_claim(document, claim, echo, at(1300)) == claim_verdict::no_change);
}

TEST_CASE("a node that starts after the store's return takes over how current a peer's copy is") {
    shared_document document;
    document_item kept = config(4, 90, "new");
    kept.kept = true;
    adopt_content(document, read_at(2, 60, {kept}), at(8000), at(3000));
    CHECK(document.confirmed_at == at(8000));
    CHECK(document.current_at == at(3000));
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

TEST_CASE("items of a content with the same hash are taken over only if they are later ones of that era") {
    shared_document document;
    const auto read = [](std::uint64_t revision, const store_era& era) {
        document_content result;
        result.at = {era, 50};
        result.hash = 1;
        result.items.push_back({"k", std::to_string(revision), revision, std::nullopt, false});
        return result;
    };
    CHECK_FALSE(refresh_items(document, read(5, {1, 0})));
    adopt_content(document, read(5, {1, 0}), at(0));
    CHECK(refresh_items(document, read(7, {1, 0})));
    CHECK_FALSE(refresh_items(document, read(6, {1, 0})));
    CHECK_FALSE(refresh_items(document, read(9, {2, 0})));
    auto other = read(9, {1, 0});
    other.hash = 2;
    CHECK_FALSE(refresh_items(document, other));
    CHECK(document.content->items.front().value == "7");
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
