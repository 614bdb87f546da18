#include <algorithm>
#include <cmath>
#include <random>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/quality_estimate.h"
#include "policy/version_evidence.h"

using namespace figspoke;
using namespace figspoke::policy;
using namespace std::chrono_literals;

namespace {

const quality_key key{"chat", "small@1", ""};

core::steady_time at(int s) {
    return core::steady_time(std::chrono::hours(1) + std::chrono::seconds(s));
}

// Returns five reports of each of three sources, the first with one rating and each next one with one more.
std::vector<quality_report> make_reports(std::mt19937& random) {
    std::vector<quality_report> reports;
    for (const auto* const node : {"a/1", "b/1", "b/2"}) {
        quality_evidence local;
        for (int i = 0; i < 5; ++i) {
            record_rating(local, node, {key, random() % 2 == 0, random() % 2 == 0}, at(i));
            record_check(local, node, key, random() % 2 == 0, at(i));
            reports.push_back(make_report(local, node, at(10)));
        }
    }
    return reports;
}

quality_evidence merged(const std::vector<quality_report>& reports) {
    quality_evidence evidence;
    for (const auto& report : reports) {
        merge_report(evidence, report, at(10));
    }
    return evidence;
}

bool nearly_equal(const rating_counts& a, const rating_counts& b) {
    return std::abs(a.accepted_passed - b.accepted_passed) < 1e-6 &&
           std::abs(a.accepted_failed - b.accepted_failed) < 1e-6 &&
           std::abs(a.flagged_passed - b.flagged_passed) < 1e-6 &&
           std::abs(a.flagged_failed - b.flagged_failed) < 1e-6 && std::abs(a.checked - b.checked) < 1e-6 &&
           std::abs(a.checked_flagged - b.checked_flagged) < 1e-6;
}

} // namespace

TEST_CASE("quality reports may arrive in any order and more than once") {
    // Guards against ratings that count twice when a report is duplicated, or are lost when one arrives late.
    CHECK(rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        auto reports = make_reports(random);
        const auto once = summed_counts(merged(reports), key, at(20));
        reports.insert(reports.end(), reports.begin(), reports.begin() + 7);
        std::shuffle(reports.begin(), reports.end(), random);
        const auto shuffled = summed_counts(merged(reports), key, at(20));
        RC_ASSERT(nearly_equal(once.slow, shuffled.slow));
        RC_ASSERT(nearly_equal(once.fast, shuffled.fast));
    }));
}

TEST_CASE("an expired source neither stays in the sum nor returns with a late duplicate") {
    // Guards against memory that grows with every restarted node, and against old ratings counted again.
    std::mt19937 random(1);
    const auto reports = make_reports(random);
    auto evidence = merged(reports);
    auto late = reports.back();
    late.age = evidence.settings.source_expiry;
    const auto end = at(10) + evidence.settings.source_expiry;
    expire_sources(evidence, end);
    CHECK(evidence.sources.empty());
    CHECK(evidence.totals.empty());
    CHECK_FALSE(merge_report(evidence, late, end));
    CHECK(summed_counts(evidence, key, end).slow.accepted_passed < 0.01);
}

TEST_CASE("estimates start at the prior, follow ratings and detect drift") {
    // Guards against a change in quality that stays undetected because older ratings outweigh recent ones.
    quality_evidence evidence;
    core::model_version version;
    version.id = "small@1";
    version.quality = 0.7;
    const quality_settings settings;
    CHECK(estimate_direct(evidence, settings, "chat", version, at(0)).mean == doctest::Approx(0.7));
    for (int i = 0; i < 200; ++i) {
        record_rating(evidence, "a/1", {key, false, i % 10 != 0}, at(i));
    }
    const auto good = estimate_direct(evidence, settings, "chat", version, at(200));
    CHECK(good.mean == doctest::Approx(0.9).epsilon(0.05));
    CHECK(good.lower_bound < good.mean);
    CHECK_FALSE(good.drifting);
    for (int i = 0; i < 30; ++i) {
        record_rating(evidence, "a/1", {key, false, i % 2 == 0}, at(1000 + i));
    }
    CHECK(estimate_direct(evidence, settings, "chat", version, at(1030)).drifting);
}

TEST_CASE("checks of unrated answers move the estimate and real ratings outweigh them") {
    // Guards against an error of the answer check about one version that ratings can't correct.
    quality_evidence evidence;
    core::model_version version;
    version.id = "small@1";
    version.quality = 0.9;
    const quality_settings settings;
    for (int i = 0; i < 1000; ++i) {
        record_check(evidence, "a/1", key, i % 3 == 0, at(0));
    }
    CHECK(estimate_direct(evidence, settings, "chat", version, at(0)).mean < 0.75);
    for (int i = 0; i < 500; ++i) {
        record_rating(evidence, "a/1", {key, i % 3 == 0, i % 10 != 0}, at(0));
    }
    CHECK(estimate_direct(evidence, settings, "chat", version, at(0)).mean > 0.85);
}

TEST_CASE("version evidence merges in any order and any number of times") {
    // Guards against outcomes that count twice in the sequential test, which stops versions.
    CHECK(rc::check([](std::uint32_t seed) {
        std::mt19937 random(seed);
        std::vector<version_evidence> parts(6);
        for (std::size_t i = 0; i < parts.size(); ++i) {
            for (const auto* const source : {"a/1", "b/1"}) {
                parts[i].sources[source][{"m@2", "chat"}] = {random() % 9, random() % 9, random() % 9, 1, 2};
            }
        }
        version_evidence once;
        for (const auto& part : parts) {
            merge_evidence(once, part);
        }
        parts.insert(parts.end(), parts.begin(), parts.begin() + 3);
        std::shuffle(parts.begin(), parts.end(), random);
        version_evidence shuffled;
        for (const auto& part : parts) {
            merge_evidence(shuffled, part);
        }
        const auto a = sum_evidence(once).at({"m@2", "chat"});
        const auto b = sum_evidence(shuffled).at({"m@2", "chat"});
        RC_ASSERT(a.answered == b.answered);
        RC_ASSERT(a.failed == b.failed);
        RC_ASSERT(a.flagged == b.flagged);
    }));
}
