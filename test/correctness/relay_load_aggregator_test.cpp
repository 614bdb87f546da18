#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/hash.h"
#include "policy/load_table.h"
#include "policy/relay_choice.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

node_load_report report_of(const std::string& node, std::uint64_t sequence, int requests) {
    node_load_report report{node, 1, sequence, {}};
    report.use.requests = requests;
    return report;
}

std::vector<std::string> numbered_names(const std::string& prefix, std::size_t count) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(prefix + std::to_string(i));
    }
    return names;
}

std::vector<double> draws_of(std::mt19937& random, std::size_t count) {
    std::vector<double> draws;
    for (std::size_t i = 0; i < count; ++i) {
        draws.push_back(std::uniform_real_distribution<>(0, 1)(random));
    }
    return draws;
}

} // namespace

TEST_CASE("the load of an upstream is the sum of each node's newest report, in any order of arrival") {
    // Datagrams may arrive out of order. If an older report replaced a newer one, running requests would be
    // missed, or ended ones counted, until the node sends its next report.
    CHECK(rc::check([] {
        load_table table;
        std::map<std::string, std::pair<std::uint64_t, int>> newest;
        for (int i = 0; i < 40; ++i) {
            const auto node = "n" + std::to_string(*rc::gen::inRange(0, 4));
            const auto sequence = std::uint64_t(*rc::gen::inRange(1, 20));
            const int requests = int(sequence) * 3;
            record_load(table, "u", report_of(node, sequence, requests), at(i));
            auto& latest = newest[node];
            latest = std::max(latest, {sequence, requests});
        }
        int expected = 0;
        for (const auto& [node, latest] : newest) {
            expected += latest.second;
        }
        RC_ASSERT(aggregate_load(table, {}, "u", at(50)).use.requests == expected);
    }));
}

TEST_CASE("requests of a node that stops reporting expire, and a restarted node replaces its report") {
    load_table table;
    record_load(table, "u", report_of("n1", 90, 5), at(0));
    record_load(table, "u", report_of("n2", 1, 2), at(1000));
    CHECK(aggregate_load(table, {}, "u", at(1000)).use.requests == 7);
    CHECK(aggregate_load(table, {}, "u", at(1600)).use.requests == 2);
    auto restarted = report_of("n1", 1, 1);
    restarted.incarnation = 2;
    record_load(table, "u", restarted, at(1600));
    CHECK(aggregate_load(table, {}, "u", at(1600)).use.requests == 3);
    expire_loads(table, {}, at(5000));
    CHECK(table.reports.empty());
}

TEST_CASE("failures on different nodes make an upstream suspect for all nodes") {
    // With 89 nodes and 140 upstreams, a single node sends to an upstream about every 20 s. If nodes counted
    // only their own requests, each of them would fail three before it avoided the upstream.
    load_table table;
    load_table_settings settings;
    settings.health.consecutive_failures = 3;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(aggregate_load(table, settings, "u", at(i)).suspect);
        record_event(table, settings, "u", upstream_event::failed, at(i));
    }
    CHECK(aggregate_load(table, settings, "u", at(10)).suspect);
    CHECK_FALSE(aggregate_load(table, settings, "v", at(10)).suspect);
    record_event(table, settings, "v", upstream_event::full, at(10));
    CHECK(aggregate_load(table, settings, "v", at(100)).full);
    CHECK_FALSE(aggregate_load(table, settings, "v", at(131)).full);
}

TEST_CASE("an upstream that refuses connections is avoided at once and tried again soon") {
    // After a crash of half of the engines, three requests failed on each of them before it was avoided.
    load_table table;
    load_table_settings settings;
    settings.health.ejection = core::milliseconds(600);
    record_event(table, settings, "u", upstream_event::connection_refused, at(0));
    CHECK(aggregate_load(table, settings, "u", at(1)).suspect);
    CHECK_FALSE(aggregate_load(table, settings, "u", at(601)).suspect);
}

TEST_CASE("upstreams are spread over load aggregators, and a member's loss reassigns only its own") {
    const auto members = numbered_names("n", 89);
    auto fewer = members;
    fewer.erase(fewer.begin() + 40);
    std::map<std::string, std::size_t> assigned;
    for (const auto& upstream : numbered_names("u", 750)) {
        const auto aggregator = aggregator_of(upstream, members);
        ++assigned[aggregator];
        CHECK((aggregator == "n40" || aggregator_of(upstream, fewer) == aggregator));
    }
    for (const auto& [member, count] : assigned) {
        CHECK(count <= 4 * 750 / 89U);
    }
    CHECK(aggregator_of("u", {}).empty());
}

TEST_CASE("a shortlist holds the owners of a prefix and distinct random others") {
    std::mt19937 random(7);
    const auto upstreams = numbered_names("u", 140);
    const shortlist_settings settings;
    const auto owners = core::rendezvous_order("42", upstreams);
    std::set<std::string> seen;
    for (int i = 0; i < 200; ++i) {
        const auto found = shortlist(42, upstreams, draws_of(random, 6), settings);
        CHECK(std::set<std::string>(found.begin(), found.end()).size() == settings.owners + settings.others);
        CHECK(std::equal(found.begin(), found.begin() + int(settings.owners), owners.begin()));
        seen.insert(found.begin(), found.end());
    }
    // Requests for a prefix whose owners are busy spread over nearly all upstreams.
    CHECK(seen.size() > 130U);
    CHECK(shortlist(42, numbered_names("u", 5), draws_of(random, 6), settings).size() == 5U);
    CHECK(shortlist(0, upstreams, std::vector<double>(6, 0.999), settings).size() == 6U);
}

namespace {

// Load of a large deployment: 140 engines with 16 slots, and prompts that share one of 1,098 long prefixes.
// An engine prefills one prompt at a time, at 54.6 tokens per millisecond, and caches every prefix.
constexpr std::size_t engines = 140;
constexpr std::size_t slices = 8;
constexpr int prefixes = 1098;
constexpr double prefix_ms = 244;
constexpr double unique_part_ms = 68;
constexpr double arrivals_per_ms = 0.25;
constexpr double simulated_ms = 20000;

struct simulation_result {
    double mean_first_byte_ms = 0;
    double cache_miss_rate = 0;
};

struct simulated_engine {
    double free_at = 0;
    std::set<int> cached;
};

relay_candidate candidate_of(const std::string& id, const simulated_engine& engine, int prefix, double now) {
    relay_candidate candidate;
    candidate.id = id;
    candidate.slots = 16;
    candidate.pending_ms = std::max(engine.free_at - now, 0.0);
    candidate.own_prefill_ms = unique_part_ms + (engine.cached.count(prefix) > 0 ? 0 : prefix_ms);
    candidate.cached_prefill_ms = unique_part_ms;
    return candidate;
}

// With `use_aggregators`, nodes ask the load aggregators of a shortlist of all engines; otherwise each
// request chooses among the engines of one slice of the fleet.
simulation_result simulate(bool use_aggregators) {
    std::mt19937 random(11);
    const auto ids = numbered_names("e", engines);
    std::map<std::string, simulated_engine> state;
    std::exponential_distribution<> gap(arrivals_per_ms);
    double total = 0;
    int count = 0;
    int misses = 0;
    for (double now = gap(random); now < simulated_ms; now += gap(random)) {
        const int prefix = int(random() % prefixes);
        const std::size_t slice = random() % slices;
        std::vector<std::string> known(ids.begin() + std::ptrdiff_t(slice * engines / slices),
                                       ids.begin() + std::ptrdiff_t((slice + 1) * engines / slices));
        if (use_aggregators) {
            known = shortlist(std::uint64_t(prefix) + 1, ids, draws_of(random, 6), {});
        }
        std::vector<relay_candidate> candidates;
        candidates.reserve(known.size());
        for (const auto& id : known) {
            candidates.push_back(candidate_of(id, state[id], prefix, now));
        }
        placement_request placement;
        placement.prefix = std::uint64_t(prefix) + 1;
        auto& chosen = state[choose_relay_upstream(candidates, {}, placement).id];
        const bool hit = chosen.cached.count(prefix) > 0;
        const double started_at = std::max(chosen.free_at, now);
        chosen.free_at = started_at + unique_part_ms + (hit ? 0 : prefix_ms);
        chosen.cached.insert(prefix);
        total += chosen.free_at - now;
        misses += hit ? 0 : 1;
        ++count;
    }
    return {total / count, double(misses) / count};
}

} // namespace

TEST_CASE("placement in the whole fleet has fewer cache misses than placement within slices") {
    // If engines are divided into slices, every slice has to prefill and cache every prefix.
    const auto sliced = simulate(false);
    const auto whole = simulate(true);
    CHECK(whole.cache_miss_rate < 0.6 * sliced.cache_miss_rate);
    CHECK(whole.mean_first_byte_ms < sliced.mean_first_byte_ms);
}
