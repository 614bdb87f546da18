#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/membership.h"

using namespace figspoke;
using namespace figspoke::state;
using namespace std::chrono_literals;

namespace {

const core::steady_time start{1000s};

// Few values, so that entries of one member often conflict and often tie.
rc::Gen<member_entry> arbitrary_entry() {
    return rc::gen::map(rc::gen::container<std::vector<int>>(7, rc::gen::inRange(0, 3)),
                        [](const std::vector<int>& v) {
                            member_entry entry;
                            entry.id = std::string(1, char('a' + v[0]));
                            entry.incarnation = std::uint64_t(v[1]);
                            entry.heartbeat = std::uint64_t(v[2]);
                            entry.table_revision = std::uint64_t(v[3]);
                            entry.state = static_cast<member_state>(v[4]);
                            entry.load = std::uint8_t(v[5] * 10);
                            entry.payload["k"] = std::to_string(v[6]);
                            return entry;
                        });
}

membership observer() {
    member_entry self;
    self.id = "observer";
    return make_membership(self, start);
}

std::vector<member_entry> entries_of(const membership& known) {
    std::vector<member_entry> entries;
    for (const auto& [id, record] : known.members) {
        entries.push_back(record.entry);
    }
    return entries;
}

std::vector<member_entry> merge_all(const std::vector<member_entry>& entries) {
    auto known = observer();
    for (const auto& entry : entries) {
        merge_entry(known, entry, 0ms, start);
    }
    return entries_of(known);
}

} // namespace

TEST_CASE("merging is commutative and idempotent") {
    // Guards against nodes that disagree forever because entries reached them in another order or twice.
    CHECK(rc::check([] {
        const auto entries = *rc::gen::container<std::vector<member_entry>>(arbitrary_entry());
        auto shuffled = entries;
        shuffled.insert(shuffled.end(), entries.begin(), entries.end());
        const auto seeds =
            *rc::gen::container<std::vector<unsigned>>(shuffled.size(), rc::gen::arbitrary<unsigned>());
        for (std::size_t i = 1; i < shuffled.size(); ++i) {
            std::swap(shuffled[i], shuffled[seeds[i] % (i + 1)]);
        }
        RC_ASSERT(merge_all(entries) == merge_all(shuffled));
    }));
}

TEST_CASE("incarnation and heartbeat of a member never go down") {
    // Guards against delayed entries that replace newer ones, also after the member was forgotten.
    CHECK(rc::check([] {
        auto known = observer();
        std::pair<std::uint64_t, std::uint64_t> highest;
        auto now = start;
        // Three steps stay within the lifetime of a tombstone.
        for (auto entry : *rc::gen::container<std::vector<member_entry>>(3, arbitrary_entry())) {
            entry.id = "a";
            now += *rc::gen::element(core::milliseconds(1), core::milliseconds(1100));
            merge_entry(known, entry, 0ms, now);
            prune(known, {100ms, 500ms, 1000ms}, now);
            const auto found = known.members.find("a");
            if (found != known.members.end()) {
                const std::pair age{found->second.entry.incarnation, found->second.entry.heartbeat};
                RC_ASSERT(age >= highest);
                highest = age;
            }
        }
    }));
}

TEST_CASE("a restarted node refutes relayed entries of its older incarnation") {
    // Guards against a running node whose entry is ignored forever, because its earlier process had a higher
    // incarnation or heartbeat.
    CHECK(rc::check([] {
        auto known = observer();
        for (auto entry : *rc::gen::container<std::vector<member_entry>>(arbitrary_entry())) {
            entry.id = "observer";
            merge_entry(known, entry, 0ms, start);
            RC_ASSERT(!supersedes(entry, self_entry(known)));
            RC_ASSERT(self_entry(known).state == member_state::joining);
        }
    }));
}

TEST_CASE("own revisions never go down, and health depends on this node's clock alone") {
    auto known = observer();
    update_self(known, {member_state::serving, 7, 2, 0, {}}, start);
    update_self(known, {member_state::joining, 6, 1, 0, {}}, start);
    CHECK(self_entry(known).table_revision == 7);
    CHECK(self_entry(known).roster_version == 2);
    CHECK(self_entry(known).state == member_state::serving);

    member_entry other;
    other.id = "other";
    other.state = member_state::serving;
    // Guards against a failed member that counts as alive again once another node relays its entry: the age
    // of its heartbeat is relayed with the entry.
    merge_entry(known, other, 6000ms, start);
    const auto health = [&](core::steady_time now) {
        return health_of(known, known.members.at("other"), {}, now);
    };
    CHECK(health(start) == member_health::failed);
    other.heartbeat = 1;
    merge_entry(known, other, 0ms, start);
    CHECK(serving_members(known, {}, start).size() == 2);
    CHECK(health(start + 1s) == member_health::suspect);
    CHECK(health(start + 5s) == member_health::failed);
}
