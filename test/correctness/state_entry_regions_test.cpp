#include <doctest/doctest.h>

#include "state/entry_choice.h"
#include "state/membership.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::state;
using core::milliseconds;
using figspoke::test::at;

namespace {

member_entry member_in(const std::string& id, const std::string& domain) {
    member_entry entry;
    entry.id = id;
    entry.failure_domain = domain;
    entry.incarnation = 1;
    entry.heartbeat = 1;
    entry.state = member_state::serving;
    return entry;
}

} // namespace

TEST_CASE("callers are referred to nodes of their own region, and to others only if it has none") {
    // Guards against lookups that send requests out of the regions in which they may run (HOME).
    const auto a = member_in("a", "north-1");
    const auto b = member_in("b", "north-2");
    const auto c = member_in("c", "south-1");
    const std::map<std::string, std::string> regions = {
        {"north-1", "north"}, {"north-2", "north"}, {"south-1", "south"}, {"west-1", "west"}};
    const std::vector<const member_entry*> all = {&a, &b, &c};
    CHECK(members_near(all, regions, "north-2") == std::vector<const member_entry*>{&a, &b});
    CHECK(members_near(all, regions, "south-1") == std::vector<const member_entry*>{&c});
    CHECK(members_near(all, regions, "west-1") == all);
    CHECK(members_near(all, regions, "unknown") == all);
    CHECK(members_near(all, {}, "north-1") == all);
}

TEST_CASE("a node that ended isn't named to callers again by late messages of others") {
    // Guards against lookups that name a VM which was killed some seconds before (DRAIN): peers repeat what
    // they last heard of it, with the age of that.
    auto known = make_membership(member_in("a", "z"), at(0));
    auto gone = member_in("b", "z");
    merge_entry(known, gone, milliseconds(0), at(0));
    const health_timeouts timeouts{milliseconds(1100), milliseconds(5000), milliseconds(600000)};
    CHECK(serving_members(known, timeouts, at(500)).size() == 2);
    for (int ms = 1000; ms < 12000; ms += 250) {
        merge_entry(known, gone, milliseconds(ms), at(ms));
        // The last heartbeat before the end, relayed by a node that heard of it by a detour.
        gone.heartbeat = 2;
        merge_entry(known, gone, milliseconds(ms - 100), at(ms));
        if (ms >= 3000) {
            CHECK(serving_members(known, timeouts, at(ms)).size() == 1);
        }
    }
}
