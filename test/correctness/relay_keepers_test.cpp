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
#include "policy/load_board.h"
#include "policy/relay_choice.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

load_report report_of(const std::string& node, std::uint64_t sequence, int requests) {
    load_report report{node, 1, sequence, {}};
    report.use.requests = requests;
    return report;
}

std::vector<std::string> names(const std::string& prefix, std::size_t count) {
    std::vector<std::string> made;
    for (std::size_t i = 0; i < count; ++i) {
        made.push_back(prefix + std::to_string(i));
    }
    return made;
}

std::vector<double> draws_of(std::mt19937& random, std::size_t count) {
    std::vector<double> draws;
    for (std::size_t i = 0; i < count; ++i) {
        draws.push_back(std::uniform_real_distribution<>(0, 1)(random));
    }
    return draws;
}

} // namespace

TEST_CASE("the keeper of an upstream adds up the newest report of each node, in whatever order they arrive") {
    // Datagrams overtake each other: an older report taken for the present would hide requests or count
    // ended ones for as long as the node is idle.
    CHECK(rc::check([] {
        load_board board;
        std::map<std::string, std::pair<std::uint64_t, int>> newest;
        for (int i = 0; i < 40; ++i) {
            const auto node = "n" + std::to_string(*rc::gen::inRange(0, 4));
            const auto sequence = std::uint64_t(*rc::gen::inRange(1, 20));
            const int requests = int(sequence) * 3;
            note_load(board, "u", report_of(node, sequence, requests), at(i));
            auto& known = newest[node];
            known = std::max(known, {sequence, requests});
        }
        int expected = 0;
        for (const auto& [node, known] : newest) {
            expected += known.second;
        }
        RC_ASSERT(read_load(board, {}, "u", at(50)).use.requests == expected);
    }));
}

TEST_CASE("what a dead node ran ends with its silence, and a restarted one starts anew") {
    load_board board;
    note_load(board, "u", report_of("n1", 90, 5), at(0));
    note_load(board, "u", report_of("n2", 1, 2), at(1000));
    CHECK(read_load(board, {}, "u", at(1000)).use.requests == 7);
    CHECK(read_load(board, {}, "u", at(1600)).use.requests == 2);
    auto restarted = report_of("n1", 1, 1);
    restarted.incarnation = 2;
    note_load(board, "u", restarted, at(1600));
    CHECK(read_load(board, {}, "u", at(1600)).use.requests == 3);
    expire_loads(board, {}, at(5000));
    CHECK(board.uses.empty());
}

TEST_CASE("failures that different nodes see make an upstream suspect for all of them") {
    // With 89 nodes before 140 upstreams a node alone meets an upstream every 20 s: each of them would have
    // to fail three of its own requests before it stayed away.
    load_board board;
    load_board_settings settings;
    settings.health.consecutive_failures = 3;
    for (int i = 0; i < 3; ++i) {
        CHECK_FALSE(read_load(board, settings, "u", at(i)).suspect);
        note_event(board, settings, "u", upstream_event::failed, at(i));
    }
    CHECK(read_load(board, settings, "u", at(10)).suspect);
    CHECK_FALSE(read_load(board, settings, "v", at(10)).suspect);
    note_event(board, settings, "v", upstream_event::full, at(10));
    CHECK(read_load(board, settings, "v", at(100)).full);
    CHECK_FALSE(read_load(board, settings, "v", at(131)).full);
}

TEST_CASE("an upstream that refuses connections is avoided at once and tried again soon") {
    // After the crash of half of the engines each of them cost three requests a try before it was avoided.
    load_board board;
    load_board_settings settings;
    settings.health.ejection = core::milliseconds(600);
    note_event(board, settings, "u", upstream_event::connection_refused, at(0));
    CHECK(read_load(board, settings, "u", at(1)).suspect);
    CHECK_FALSE(read_load(board, settings, "u", at(601)).suspect);
}

TEST_CASE("upstreams are spread over their keepers, and a member that is lost moves only its own") {
    const auto members = names("n", 89);
    auto fewer = members;
    fewer.erase(fewer.begin() + 40);
    std::map<std::string, std::size_t> kept;
    for (const auto& upstream : names("u", 750)) {
        const auto keeper = keeper_of(upstream, members);
        ++kept[keeper];
        CHECK((keeper == "n40" || keeper_of(upstream, fewer) == keeper));
    }
    for (const auto& [member, count] : kept) {
        CHECK(count <= 4 * 750 / 89U);
    }
    CHECK(keeper_of("u", {}).empty());
}

TEST_CASE("a shortlist names the owners of a prefix on every node, and others, none twice") {
    std::mt19937 random(7);
    const auto upstreams = names("u", 140);
    const shortlist_settings settings;
    const auto owners = core::rendezvous_order("42", upstreams);
    std::set<std::string> seen;
    for (int i = 0; i < 200; ++i) {
        const auto found = shortlist(42, upstreams, draws_of(random, 6), settings);
        CHECK(std::set<std::string>(found.begin(), found.end()).size() == settings.owners + settings.others);
        CHECK(std::equal(found.begin(), found.begin() + int(settings.owners), owners.begin()));
        seen.insert(found.begin(), found.end());
    }
    // A prefix whose owners are busy reaches every upstream in the end.
    CHECK(seen.size() > 130U);
    CHECK(shortlist(42, names("u", 5), draws_of(random, 6), settings).size() == 5U);
    CHECK(shortlist(0, upstreams, std::vector<double>(6, 0.999), settings).size() == 6U);
}

namespace {

// The load of the grown first site: 140 engines of 16 slots, and prompts that share one of 1,098 long
// prefixes. An engine reads prompts one after the other, 54.6 tokens a millisecond, and keeps what it has
// read.
constexpr std::size_t engines = 140;
constexpr std::size_t slices = 8;
constexpr int prefixes = 1098;
constexpr double prefix_ms = 244;
constexpr double own_ms = 68;
constexpr double arrivals_per_ms = 0.25;
constexpr double played_ms = 20000;

struct play_result {
    double mean_first_byte_ms = 0;
    double cold_part = 0;
};

struct played_engine {
    double free_at = 0;
    std::set<int> kept;
};

relay_candidate candidate_of(const std::string& id, const played_engine& engine, int prefix, double now) {
    relay_candidate candidate;
    candidate.id = id;
    candidate.slots = 16;
    candidate.pending_ms = std::max(engine.free_at - now, 0.0);
    candidate.reading_ms = own_ms + (engine.kept.count(prefix) > 0 ? 0 : prefix_ms);
    candidate.warm_reading_ms = own_ms;
    return candidate;
}

// `asks` tells whether nodes ask the keepers of a shortlist of all engines, or know those of one slice.
play_result play(bool asks) {
    std::mt19937 random(11);
    const auto ids = names("e", engines);
    std::map<std::string, played_engine> state;
    std::exponential_distribution<> gap(arrivals_per_ms);
    double total = 0;
    int count = 0;
    int cold = 0;
    for (double now = gap(random); now < played_ms; now += gap(random)) {
        const int prefix = int(random() % prefixes);
        const std::size_t slice = random() % slices;
        std::vector<std::string> known(ids.begin() + std::ptrdiff_t(slice * engines / slices),
                                       ids.begin() + std::ptrdiff_t((slice + 1) * engines / slices));
        if (asks) {
            known = shortlist(std::uint64_t(prefix) + 1, ids, draws_of(random, 6), {});
        }
        std::vector<relay_candidate> candidates;
        candidates.reserve(known.size());
        for (const auto& id : known) {
            candidates.push_back(candidate_of(id, state[id], prefix, now));
        }
        relay_wish wish;
        wish.prefix = std::uint64_t(prefix) + 1;
        auto& chosen = state[choose_relay_upstream(candidates, {}, wish).id];
        const bool warm = chosen.kept.count(prefix) > 0;
        const double began = std::max(chosen.free_at, now);
        chosen.free_at = began + own_ms + (warm ? 0 : prefix_ms);
        chosen.kept.insert(prefix);
        total += chosen.free_at - now;
        cold += warm ? 0 : 1;
        ++count;
    }
    return {total / count, double(cold) / count};
}

} // namespace

TEST_CASE("owners of a prefix in the whole fleet read it once, where cells would each read it") {
    // Engines divided among cells keep every prefix once in each cell, and spend their time reading again.
    const auto divided = play(false);
    const auto asked = play(true);
    CHECK(asked.cold_part < 0.6 * divided.cold_part);
    CHECK(asked.mean_first_byte_ms < divided.mean_first_byte_ms);
}
