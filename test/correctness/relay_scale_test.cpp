#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/trial_evidence.h"

using namespace figspoke;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{std::chrono::hours(1)};

policy::trial_report report_of(const std::string& node, std::uint64_t sequence, std::uint64_t bad) {
    policy::trial_report report;
    report.node = node;
    report.incarnation = 1;
    report.sequence = sequence;
    report.target.bad = bad;
    report.running_on_old = 1;
    return report;
}

} // namespace

TEST_CASE("reports of a roll-out count once, however often and in whatever order they arrive") {
    // Guards against a good version that is stopped because its few failures were relayed several times.
    CHECK(rc::check([] {
        policy::trial_evidence evidence;
        for (int i = 0; i < 60; ++i) {
            const auto node = "n" + std::to_string(*rc::gen::inRange(0, 3));
            const auto sequence = std::uint64_t(*rc::gen::inRange(1, 9));
            policy::merge_report(evidence, report_of(node, sequence, sequence), 10ms, start);
        }
        for (int i = 0; i < 3; ++i) {
            policy::merge_report(evidence, report_of("n" + std::to_string(i), 9, 9), 10ms, start);
        }
        RC_ASSERT(policy::total_of(evidence, 1s, start).target.bad == 27U);
    }));
}

TEST_CASE("the counts of a process outlive it, its running requests don't") {
    // A roll-out would never complete if the requests of a dead node kept the old version in use.
    policy::trial_evidence evidence;
    policy::merge_report(evidence, report_of("n1", 1, 4), 0ms, start);
    auto restarted = report_of("n1", 1, 2);
    restarted.incarnation = 2;
    policy::merge_report(evidence, restarted, 0ms, start + 5s);
    const auto totals = policy::total_of(evidence, 1s, start + 5s);
    CHECK(totals.target.bad == 6U);
    CHECK(totals.running_on_old == 1);
}
