#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/upstream_registry.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::state;
using core::milliseconds;
using test::at;

namespace {

const store_era first_era{1, 0};
const store_era second_era{2, 0};
const store_era third_era{3, 0};

upstream_entry entry(const std::string& id, std::uint64_t sequence, bool draining = false,
                     std::int64_t incarnation = 1000) {
    upstream_entry result;
    result.id = id;
    result.service = "s";
    result.address = "127.0.0.1:1";
    result.draining = draining;
    result.incarnation = incarnation;
    result.sequence = sequence;
    return result;
}

registry_changes apply(upstream_registry& registry, const std::vector<upstream_entry>& list,
                       const store_era& era, int ms) {
    return apply_list(registry, list, {era, at(ms)}, at(ms), {});
}

registry_changes confirm(upstream_registry& registry, const store_era& era, int ms) {
    return confirm_list(registry, {era, at(ms)}, at(ms), {});
}

registry_changes refresh(upstream_registry& registry, const std::vector<upstream_entry>& list,
                         const store_era& era, int ms) {
    return refresh_list(registry, list, {era, at(ms)}, at(ms), {});
}

std::vector<std::string> serving(const upstream_registry& registry) {
    std::vector<std::string> ids;
    for (const auto* upstream : serving_upstreams(registry, "s")) {
        ids.push_back(upstream->id);
    }
    return ids;
}

using ids = std::vector<std::string>;

} // namespace

TEST_CASE("a draining upstream isn't used again for an entry that it wrote before") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10)}, first_era, 0);
    apply(registry, {entry("a", 11), entry("b", 12, true)}, first_era, 900);
    CHECK(apply(registry, {entry("a", 10), entry("b", 11)}, first_era, 1800).removed.empty());
    CHECK(serving(registry) == ids{"a"});
}

TEST_CASE("an upstream that left isn't used again for an entry that it wrote before") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10)}, first_era, 0);
    apply(registry, {entry("a", 11)}, first_era, 900);
    apply(registry, {entry("a", 12), entry("b", 9)}, first_era, 1800);
    CHECK(serving(registry) == ids{"a"});
    // One that only lapsed goes on writing.
    apply(registry, {entry("a", 13), entry("b", 14)}, first_era, 2700);
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("a restart under the same id is followed although its sequence begins anew") {
    upstream_registry registry;
    apply(registry, {entry("a", 50, true), entry("b", 50)}, first_era, 0);
    apply(registry, {entry("a", 1, false, 2000)}, first_era, 900);
    CHECK(serving(registry) == ids{"a"});
    apply(registry, {entry("a", 2, false, 2000), entry("b", 1, false, 2000)}, first_era, 1800);
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("an entry without a start time is followed whatever its sequence is") {
    upstream_registry registry;
    apply(registry, {entry("a", 50, true, 0), entry("b", 50, false, 0)}, first_era, 0);
    apply(registry, {entry("a", 1, false, 0)}, first_era, 900);
    apply(registry, {entry("a", 2, false, 0), entry("b", 1, false, 0)}, first_era, 1800);
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("a copy of the store doesn't bring back an upstream that left") {
    // The node knew sequence 10 when the upstream had long written 20, so the copy's 15 looks newer.
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10)}, first_era, 0);
    apply(registry, {entry("a", 21)}, first_era, 900);
    const auto changes = apply(registry, {entry("a", 15), entry("b", 15)}, second_era, 10000);
    CHECK(changes.held_back == ids{"b"});
    CHECK(changes.added.empty());
    CHECK(serving(registry) == ids{"a"});
    // No time limit brings it back.
    apply(registry, {entry("a", 200), entry("b", 15)}, second_era, 500000);
    CHECK(serving(registry) == ids{"a"});
    CHECK(apply(registry, {entry("a", 201), entry("b", 16)}, second_era, 500900).released == ids{"b"});
    CHECK(serving(registry) == ids{"a", "b"});
    CHECK(registry.held_back.empty());
}

TEST_CASE("a copy of the store doesn't make a draining upstream ready") {
    upstream_registry registry;
    apply(registry, {entry("a", 10)}, first_era, 0);
    apply(registry, {entry("a", 20, true)}, first_era, 900);
    apply(registry, {entry("a", 18)}, second_era, 2000);
    CHECK(serving(registry).empty());
    // A write that was under way when the store went away is still older than what the node knows.
    apply(registry, {entry("a", 19)}, second_era, 2900);
    CHECK(serving(registry).empty());
    apply(registry, {entry("a", 22, true)}, second_era, 3800);
    CHECK(serving(registry).empty());
    CHECK(registry.upstreams.at("a").entry.draining);
}

TEST_CASE("a copy of a store that states no era is told by the revisions of its entries") {
    // The store's revision may have passed the known one before a node reads it again.
    const auto listed = [](const std::string& id, std::uint64_t sequence, std::uint64_t revision,
                           bool draining = false) {
        auto result = entry(id, sequence, draining);
        result.revision = revision;
        return result;
    };
    upstream_registry registry;
    const auto apply_at = [&](const std::vector<upstream_entry>& list, std::uint64_t revision, int ms) {
        return apply_list(registry, list, {{}, at(ms), revision}, at(ms), {});
    };
    apply_at({listed("a", 1, 10), listed("b", 1, 11), listed("c", 1, 12), listed("d", 1, 13)}, 20, 0);
    apply_at({listed("a", 2, 21), listed("c", 2, 22, true), listed("d", 2, 23)}, 25, 900);
    // "a" has written again, "b" and "c" stand in the copy as they did, and "d" is missing.
    const auto changes = apply_at({listed("a", 3, 26), listed("b", 1, 11), listed("c", 1, 12)}, 30, 1800);
    CHECK(changes.held_back == ids{"b", "c"});
    CHECK(changes.removed.empty());
    CHECK(serving(registry) == ids{"a", "d"});
    // The same entries show no second return, which would keep missing ones for longer.
    apply_at({listed("a", 4, 31), listed("b", 1, 11), listed("c", 1, 12)}, 32, 2700);
    CHECK(apply_at({listed("a", 5, 33), listed("b", 1, 11), listed("c", 1, 12)}, 34, 3900).removed ==
          ids{"c", "d"});
    // An upstream that lapsed and registers again has a later revision.
    apply_at({listed("a", 6, 35), listed("b", 9, 36), listed("d", 3, 37)}, 40, 4800);
    CHECK(serving(registry) == ids{"a", "b", "d"});
    apply_at({listed("a", 5, 41), listed("d", 4, 42)}, 50, 4000);
    CHECK(
        apply_at({listed("a", 6, 51), listed("b", 10, 52), listed("d", 5, 53)}, 60, 4900).held_back.empty());
    CHECK(serving(registry) == ids{"a", "b", "d"});
}

TEST_CASE("revisions of an earlier era don't show a return in a later one") {
    auto one = entry("a", 10);
    one.revision = 50;
    upstream_registry registry;
    apply_list(registry, {one, entry("b", 10)}, {first_era, at(0), 60}, at(0), {});
    confirm_list(registry, {second_era, at(900), 20}, at(900), {});
    one.revision = 15;
    refresh_list(registry, {one, entry("b", 10)}, {second_era, at(1800), 21}, at(1800), {});
    one.revision = 30;
    const auto changes = apply_list(registry, {one}, {second_era, at(3600), 31}, at(3600), {});
    CHECK(changes.removed == ids{"b"});
}

TEST_CASE("an upstream that left under an id doesn't hold back a later start") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10, true)}, first_era, 0);
    apply(registry, {entry("b", 11, true)}, first_era, 900);
    apply(registry, {entry("a", 1, false, 2000), entry("b", 1, false, 2000)}, second_era, 2000);
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("a copy of the store doesn't replace an upstream by its earlier start") {
    upstream_registry registry;
    apply(registry, {entry("a", 10, false, 1000)}, first_era, 0);
    apply(registry, {entry("a", 1, false, 2000)}, first_era, 900);
    CHECK(apply(registry, {entry("a", 10, false, 1000)}, second_era, 2000).restarted.empty());
    CHECK(registry.upstreams.at("a").entry.incarnation == 2000);
    CHECK(serving(registry) == ids{"a"});
    CHECK(apply(registry, {entry("a", 5, false, 2000)}, second_era, 2900).restarted.empty());
    CHECK(registry.held_back.empty());
    CHECK(confirm(registry, second_era, 4100).removed.empty());
}

TEST_CASE("an earlier start that the store has never replaced isn't used after the grace period") {
    upstream_registry registry;
    apply(registry, {entry("a", 1, false, 2000)}, first_era, 0);
    apply(registry, {entry("a", 10, false, 1000)}, second_era, 1000);
    CHECK(confirm(registry, second_era, 3100).removed == ids{"a"});
    apply(registry, {entry("a", 10, false, 1000)}, second_era, 4000);
    CHECK(serving(registry).empty());
}

TEST_CASE("a second return holds back what the first one did") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10, true)}, first_era, 0);
    apply(registry, {entry("b", 10, true)}, first_era, 900);
    apply(registry, {entry("a", 8), entry("b", 8)}, second_era, 2000);
    apply(registry, {entry("a", 9), entry("b", 9)}, third_era, 3000);
    CHECK(serving(registry).empty());
    apply(registry, {entry("a", 9), entry("b", 12)}, third_era, 3900);
    CHECK(serving(registry) == ids{"b"});
}

TEST_CASE("an upstream that left is remembered however long the store was away") {
    upstream_registry registry;
    apply(registry, {entry("a", 10)}, first_era, 0);
    apply(registry, {}, first_era, 900);
    confirm(registry, second_era, 300000);
    apply(registry, {entry("a", 9)}, second_era, 300900);
    CHECK(serving(registry).empty());
}

TEST_CASE("upstreams that a copy of the store lacks are kept until they had time to register again") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 1)}, first_era, 0);
    CHECK(apply(registry, {entry("a", 9)}, second_era, 1000).removed.empty());
    CHECK(serving(registry) == ids{"a", "b"});
    CHECK(apply(registry, {entry("a", 10)}, second_era, 2900).removed.empty());
    CHECK(confirm(registry, second_era, 3100).removed == ids{"b"});
    // Registered after the grace period, it has written in this era.
    apply(registry, {entry("a", 12), entry("b", 5)}, second_era, 4000);
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("a return that is first learned from a confirmation starts the grace period") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10)}, first_era, 0);
    confirm(registry, second_era, 1000);
    CHECK(apply(registry, {entry("a", 11)}, second_era, 1900).removed.empty());
    CHECK(confirm(registry, second_era, 3100).removed == ids{"b"});
}

TEST_CASE("a copy of the list with the same hash shows that an upstream has written again") {
    upstream_registry registry;
    apply(registry, {entry("a", 10), entry("b", 10)}, first_era, 0);
    apply(registry, {entry("a", 11)}, first_era, 900);
    apply(registry, {entry("a", 9), entry("b", 9)}, second_era, 1800);
    CHECK(refresh(registry, {entry("a", 12), entry("b", 9)}, second_era, 2700).released.empty());
    const auto changes = refresh(registry, {entry("a", 13), entry("b", 12)}, second_era, 3600);
    CHECK(changes.released == ids{"b"});
    CHECK(changes.added == ids{"b"});
    CHECK(serving(registry) == ids{"a", "b"});
}

TEST_CASE("a copy of the list with the same hash doesn't begin a cold time anew") {
    upstream_registry registry;
    auto cold = entry("a", 10);
    cold.cold_for = milliseconds(3900);
    apply(registry, {cold}, first_era, 0);
    cold.cold_for = milliseconds(3000);
    cold.sequence = 11;
    refresh(registry, {cold}, first_era, 900);
    CHECK(registry.upstreams.at("a").entry.cold_for == milliseconds(3900));
    CHECK(registry.upstreams.at("a").entry.sequence == 11);
}

TEST_CASE("a node that starts after a return learns from its peers what they hold back") {
    upstream_registry peer;
    apply(peer, {entry("a", 10), entry("b", 10), entry("c", 10, true)}, first_era, 0);
    apply(peer, {entry("a", 11), entry("c", 11, true)}, first_era, 900);
    apply(peer, {entry("a", 9), entry("b", 9), entry("c", 9)}, second_era, 1800);
    upstream_registry started;
    apply(started, {entry("a", 9), entry("b", 9), entry("c", 9)}, second_era, 2000);
    CHECK(serving(started) == ids{"a", "b", "c"});
    CHECK_FALSE(needs_comparison(started, first_era, at(2100), {}));
    CHECK(needs_comparison(started, second_era, at(2100), {}));
    const auto told = told_held_entries(peer);
    CHECK(merge_held_entries(started, told, first_era, at(2100)).removed.empty());
    CHECK(merge_held_entries(started, told, second_era, at(2100)).removed == ids{"b", "c"});
    CHECK(serving(started) == ids{"a"});
    refresh(started, {entry("a", 12), entry("b", 9), entry("c", 9)}, second_era, 3000);
    CHECK(serving(started) == ids{"a"});
    refresh(started, {entry("a", 13), entry("b", 12), entry("c", 9)}, second_era, 3900);
    CHECK(serving(started) == ids{"a", "b"});
    // A peer that hasn't seen the later entry doesn't hold it back here.
    CHECK(merge_held_entries(started, told, second_era, at(4000)).removed.empty());
    CHECK(serving(started) == ids{"a", "b"});
}

TEST_CASE("copies are compared a few times in each era only") {
    upstream_registry registry;
    apply(registry, {entry("a", 9)}, first_era, 0);
    const auto count_until = [&](const store_era& era, int from, int to) {
        int copies = 0;
        for (int ms = from; ms < to; ms += 100) {
            if (needs_comparison(registry, era, at(ms), {})) {
                ++copies;
                merge_held_entries(registry, {}, era, at(ms));
            }
        }
        return copies;
    };
    CHECK(count_until(first_era, 0, 20000) == 2);
    apply(registry, {entry("a", 9)}, second_era, 20000);
    CHECK(count_until(second_era, 20000, 40000) == 2);
}

TEST_CASE("the upstreams that left and are remembered are bounded in number and time") {
    upstream_registry registry;
    registry_timeouts timeouts;
    timeouts.max_departed = 3;
    for (int i = 0; i < 6; ++i) {
        const auto id = "u" + std::to_string(i);
        apply_list(registry, {entry(id, 10)}, {first_era, at(1000 * i)}, at(1000 * i), timeouts);
    }
    CHECK(registry.departed.size() == 3);
    CHECK(registry.departed.count("u1") == 0);
    CHECK(registry.departed.count("u4") == 1);
    for (int ms = 6000; ms < 70000; ms += 1000) {
        confirm_list(registry, {first_era, at(ms)}, at(ms), timeouts);
    }
    CHECK(registry.departed.empty());
}

TEST_CASE("a list is copied again while entries are held back, ever less often") {
    upstream_registry registry;
    apply(registry, {entry("a", 10)}, first_era, 0);
    apply(registry, {}, first_era, 900);
    CHECK_FALSE(needs_refresh(registry, at(60000), {}));
    apply(registry, {entry("a", 9)}, second_era, 1000);
    CHECK_FALSE(needs_refresh(registry, at(1900), {}));
    int copies = 0;
    for (int ms = 1000; ms < 121000; ms += 100) {
        if (needs_refresh(registry, at(ms), {})) {
            ++copies;
            apply(registry, {entry("a", 9)}, second_era, ms);
        }
    }
    CHECK(copies >= 5);
    CHECK(copies <= 15);
    apply(registry, {entry("a", 30)}, second_era, 122000);
    CHECK_FALSE(needs_refresh(registry, at(200000), {}));
}

TEST_CASE("no order of returns and delayed lists brings an upstream back before it has written again") {
    CHECK(rc::check([] {
        // One upstream writes, leaves at a random time and never writes again. The store returns from copies
        // of random age, and the node sees random lists of it.
        struct write {
            int ms;
            std::uint64_t sequence;
        };
        const int left_ms = *rc::gen::inRange(1000, 9000);
        std::vector<write> writes;
        for (int ms = 0; ms < left_ms; ms += 1000) {
            writes.push_back({ms, std::uint64_t(ms / 1000 + 1)});
        }
        const auto entry_at = [&](int ms) -> std::vector<upstream_entry> {
            std::vector<upstream_entry> list;
            for (const auto& one : writes) {
                if (one.ms <= ms) {
                    list = {entry("a", one.sequence)};
                }
            }
            return ms >= left_ms ? std::vector<upstream_entry>{} : list;
        };
        upstream_registry registry;
        int now = 0;
        // Until it has left, the node copies the list now and then.
        while (now < left_ms) {
            apply(registry, entry_at(now), first_era, now);
            now += *rc::gen::inRange(300, 2000);
        }
        apply(registry, entry_at(now), first_era, now);
        RC_ASSERT(serving(registry).empty());
        auto era = first_era;
        const int returns = *rc::gen::inRange(1, 4);
        for (int i = 0; i < returns; ++i) {
            ++era.stated;
            const int copy_ms = *rc::gen::inRange(0, left_ms);
            now += *rc::gen::inRange(100, 20000);
            const int lists = *rc::gen::inRange(1, 5);
            for (int j = 0; j < lists; ++j) {
                now += *rc::gen::inRange(100, 2000);
                apply(registry, entry_at(copy_ms), era, now);
                RC_ASSERT(serving(registry).empty());
                confirm(registry, era, now + 50);
                RC_ASSERT(serving(registry).empty());
            }
            // Its entry lapses.
            if (*rc::gen::arbitrary<bool>()) {
                now += 3000;
                apply(registry, {}, era, now);
                RC_ASSERT(serving(registry).empty());
            }
        }
    }));
}
