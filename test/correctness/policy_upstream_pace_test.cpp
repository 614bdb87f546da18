#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "policy/relay_choice.h"
#include "policy/upstream_pace.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::policy;
using test::at;

namespace {

constexpr int slots = 64;
constexpr std::size_t upstreams = 12;
constexpr double usual_ms = 100;
// Requests at once that a cold upstream bears.
constexpr int cold_bears = 40;
constexpr int first_start_ms = 1000;

enum class start_rule { full, fixed_ramp, paced };

struct played_start {
    /// Share of the requests to the new upstream that took several times the usual time or were lost in a
    /// crash.
    double late_share = 0;
    /// Time until the new upstream runs four fifths as many requests as the others on average.
    int part_after_ms = -1;
    int crashes = 0;
};

// Plays the start of one upstream beside eleven that are half full. Nodes hear of the requests of others
// every 250 ms, and of a pace with the next of these messages. A cold upstream takes four times as long for
// three seconds and crashes under a load that it bears later; it is back a second after a crash.
played_start play_start(start_rule rule, bool cold, std::size_t nodes) {
    struct running {
        std::size_t node;
        std::size_t upstream;
        int until;
        bool slow;
    };
    std::mt19937 random(9);
    std::uniform_real_distribution<double> draw(0, 1);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < nodes; ++i) {
        names.push_back("n" + std::to_string(i));
    }
    std::vector<running> all;
    std::vector<std::vector<int>> own(nodes, std::vector<int>(upstreams, 0));
    std::vector<int> total(upstreams, 0);
    auto told = own;
    std::vector<pace_table> paces(nodes);
    int began = 0;
    const auto start = [&](int ms) {
        began = ms;
        for (auto& table : paces) {
            begin_pace(table, {}, "u0", slots, at(ms));
        }
    };
    played_start result;
    int to_new = 0;
    int late = 0;
    int down_until = first_start_ms;
    for (int ms = 0; ms < first_start_ms + 20000; ++ms) {
        const auto now = at(ms);
        if (ms % 250 == 0) {
            told = own;
            for (std::size_t i = 0; i < nodes; ++i) {
                const auto found = paces[i].upstreams.find("u0");
                const int limit = found == paces[i].upstreams.end() ? slots : found->second.limit;
                const int setbacks = found == paces[i].upstreams.end() ? 0 : found->second.setbacks;
                for (auto& table : paces) {
                    merge_pace(table, "u0", limit, setbacks, now);
                }
            }
        }
        if (down_until != 0 && ms == down_until) {
            down_until = 0;
            start(ms);
        }
        for (auto& one : all) {
            if (one.until != ms) {
                continue;
            }
            --own[one.node][one.upstream];
            --total[one.upstream];
            if (one.upstream == 0) {
                record_pace_answer(paces[one.node], {}, "u0",
                                   one.slow ? pace_answer::slow : pace_answer::fast, nodes, now);
            }
        }
        all.erase(std::remove_if(all.begin(), all.end(), [&](const running& one) { return one.until <= ms; }),
                  all.end());
        for (auto& table : paces) {
            expire_paces(table, {}, now);
        }
        // About 32 requests on each upstream, of which each takes 100 ms or more.
        for (int arrivals = 0; arrivals < 2 + int(random() % 2); ++arrivals) {
            const auto node = random() % nodes;
            std::vector<relay_candidate> candidates;
            for (std::size_t u = down_until == 0 ? 0 : 1; u < upstreams; ++u) {
                relay_candidate candidate;
                candidate.id = "u" + std::to_string(u);
                candidate.slots = slots;
                candidate.load = own[node][u];
                for (std::size_t other = 0; other < nodes; ++other) {
                    candidate.load += other == node ? 0 : told[other][u];
                }
                const auto pace = paces[node].upstreams.find(candidate.id);
                int limit = slots;
                if (u == 0 && rule == start_rule::fixed_ramp) {
                    limit = std::max((ms - began) * slots / 10000, 1);
                } else if (rule == start_rule::paced && pace != paces[node].upstreams.end()) {
                    limit = pace->second.limit;
                }
                candidate.over_pace =
                    limit < slots && (candidate.load >= limit ||
                                      own[node][u] >= pace_part(limit, candidate.id, names[node], names));
                candidates.push_back(candidate);
            }
            placement_request placement;
            placement.first = draw(random);
            placement.second = draw(random);
            const auto chosen = choose_relay_upstream(candidates, {}, placement);
            if (chosen.id.empty()) {
                continue;
            }
            const auto u = std::size_t(std::stoi(chosen.id.substr(1)));
            const bool still_cold = u == 0 && cold && ms - began < 3000;
            const double took = usual_ms * (1 + double(total[u]) / slots) * (still_cold ? 4 : 1);
            const bool slow = took > pace_settings{}.slow_factor * usual_ms * 1.5;
            all.push_back({node, u, ms + int(took), slow});
            ++own[node][u];
            ++total[u];
            to_new += u == 0 ? 1 : 0;
            late += u == 0 && slow ? 1 : 0;
            if (still_cold && total[0] > cold_bears) {
                ++result.crashes;
                for (auto& one : all) {
                    late += one.upstream == 0 && !one.slow ? 1 : 0;
                    one.until = one.upstream == 0 ? -1 : one.until;
                }
                for (auto& of_node : own) {
                    of_node[0] = 0;
                }
                total[0] = 0;
                down_until = ms + 1000;
            }
        }
        const auto others = double(all.size()) - total[0];
        if (result.part_after_ms < 0 && total[0] > 0 && total[0] >= 0.8 * others / (upstreams - 1)) {
            result.part_after_ms = ms - first_start_ms;
        }
    }
    result.late_share = double(late) / std::max(to_new, 1);
    return result;
}

} // namespace

TEST_CASE("a sound upstream bears its part within a second or two, sooner than with a fixed ramp") {
    for (const std::size_t nodes : {6U, 60U}) {
        const auto paced = play_start(start_rule::paced, false, nodes);
        const auto ramp = play_start(start_rule::fixed_ramp, false, nodes);
        const auto full = play_start(start_rule::full, false, nodes);
        MESSAGE(nodes, " nodes: part after ms, paced ", paced.part_after_ms, ", ramp ", ramp.part_after_ms,
                ", full ", full.part_after_ms);
        CHECK(paced.part_after_ms >= 0);
        CHECK(paced.part_after_ms < 2500);
        CHECK(paced.part_after_ms < ramp.part_after_ms / 2);
    }
}

TEST_CASE("a cold upstream is not crashed by the requests that it attracts") {
    for (const std::size_t nodes : {6U, 60U}) {
        const auto paced = play_start(start_rule::paced, true, nodes);
        const auto ramp = play_start(start_rule::fixed_ramp, true, nodes);
        const auto full = play_start(start_rule::full, true, nodes);
        MESSAGE(nodes, " nodes: late share, crashes, part after ms: paced ", paced.late_share, " ",
                paced.crashes, " ", paced.part_after_ms, ", ramp ", ramp.late_share, " ", ramp.crashes, " ",
                ramp.part_after_ms, ", full ", full.late_share, " ", full.crashes, " ", full.part_after_ms);
        CHECK(paced.crashes == 0);
        CHECK(full.crashes > 0);
        CHECK(paced.late_share < full.late_share);
        CHECK(paced.part_after_ms < 8000);
    }
}

TEST_CASE("the parts of any number of nodes add up to the limit") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange<std::size_t>(1, 300);
        const int limit = *rc::gen::inRange(1, 200);
        std::vector<std::string> nodes;
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back("n" + std::to_string(i));
        }
        int sum = 0;
        for (const auto& node : nodes) {
            sum += pace_part(limit, "u7", node, nodes);
        }
        RC_ASSERT(sum == limit);
    }));
}

TEST_CASE("the limit of a pace stays between its first value and the slots, whatever is answered") {
    CHECK(rc::check([] {
        pace_table table;
        const int size = *rc::gen::inRange(1, 100);
        begin_pace(table, {}, "u", size, at(0));
        const int first = table.upstreams.at("u").limit;
        for (const int answer : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
            record_pace_answer(table, {}, "u", static_cast<pace_answer>(answer), 3, at(1));
            const auto found = table.upstreams.find("u");
            if (found != table.upstreams.end()) {
                RC_ASSERT(found->second.limit >= first && found->second.limit < std::max(size, 2));
            }
        }
    }));
}

TEST_CASE("a refusal halves the limit, and nodes agree on it in any order of their messages") {
    pace_table a;
    begin_pace(a, {}, "u", slots, at(0));
    auto b = a;
    for (int i = 0; i < 24; ++i) {
        record_pace_answer(a, {}, "u", pace_answer::fast, 1, at(10));
    }
    CHECK(a.upstreams.at("u").limit == 32);
    record_pace_answer(a, {}, "u", pace_answer::refused, 1, at(20));
    CHECK(a.upstreams.at("u").limit == 16);
    CHECK(merge_pace(b, "u", 16, 1, at(30)));
    CHECK_FALSE(merge_pace(b, "u", 32, 0, at(31)));
    CHECK(b.upstreams.at("u").limit == 16);
}

TEST_CASE("the pace of an upstream that is rarely asked or slower for good ends") {
    pace_table table;
    begin_pace(table, {}, "u", slots, at(0));
    record_pace_answer(table, {}, "u", pace_answer::slow, 1, at(9000));
    expire_paces(table, {}, at(10001));
    CHECK(table.upstreams.empty());
    begin_pace(table, {}, "u", slots, at(0));
    record_pace_answer(table, {}, "u", pace_answer::failed, 1, at(9000));
    expire_paces(table, {}, at(10001));
    CHECK(table.upstreams.size() == 1U);
}

TEST_CASE("prompts move to a new upstream in the measure of its pace, and none moves back") {
    std::vector<relay_candidate> candidates(8);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].id = "u" + std::to_string(i);
        candidates[i].slots = slots;
        candidates[i].own_prefill_ms = 300;
        candidates[i].cached_prefill_ms = 50;
    }
    const auto placed_on_new = [&](double share) {
        candidates[0].pace_share = share;
        std::vector<bool> on_new;
        for (std::uint64_t prefix = 1; prefix <= 2000; ++prefix) {
            placement_request placement;
            placement.prefix = prefix;
            on_new.push_back(choose_relay_upstream(candidates, {}, placement).id == "u0");
        }
        return on_new;
    };
    const auto part = [](const std::vector<bool>& placed) {
        return double(std::count(placed.begin(), placed.end(), true)) / double(placed.size());
    };
    const auto few = placed_on_new(0.125);
    const auto half = placed_on_new(0.5);
    const auto whole = placed_on_new(1);
    CHECK(part(few) == doctest::Approx(part(whole) / 8).epsilon(0.5));
    CHECK(part(half) == doctest::Approx(part(whole) / 2).epsilon(0.3));
    for (std::size_t i = 0; i < few.size(); ++i) {
        CHECK((!few[i] || half[i]));
        CHECK((!half[i] || whole[i]));
    }
}

TEST_CASE("where all upstreams are beyond their pace, requests still run, and prompts of a prefix together") {
    // As in a roll-out, whose version runs only on new upstreams.
    std::vector<relay_candidate> candidates(6);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].id = "u" + std::to_string(i);
        candidates[i].slots = slots;
        candidates[i].pace_share = 0.125;
        candidates[i].over_pace = true;
    }
    placement_request placement;
    placement.prefix = 7;
    const auto first = choose_relay_upstream(candidates, {}, placement);
    CHECK(first.reason == relay_reason::beyond_pace);
    for (const double draw : {0.1, 0.5, 0.9}) {
        placement.first = draw;
        placement.second = 1 - draw;
        CHECK(choose_relay_upstream(candidates, {}, placement).id == first.id);
    }
    placement.prefix = 0;
    CHECK_FALSE(choose_relay_upstream(candidates, {}, placement).id.empty());
    candidates[3].over_pace = false;
    CHECK(choose_relay_upstream(candidates, {}, placement).id == "u3");
}
