#include "platform/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace figspoke::soak {
namespace {

struct kind_row {
    fault_kind kind;
    std::string_view name;
    /// Relative frequency.
    double weight;
    bool planned;
};

constexpr std::array kinds{
    kind_row{fault_kind::kill_node, "kill_node", 2, false},
    kind_row{fault_kind::pause_node, "pause_node", 2, false},
    kind_row{fault_kind::stop_node, "stop_node", 2, true},
    kind_row{fault_kind::reload_node, "reload_node", 1, true},
    kind_row{fault_kind::delay_store_link, "delay_store_link", 1, false},
    kind_row{fault_kind::silence_store_link, "silence_store_link", 1, false},
    kind_row{fault_kind::cut_store_answers, "cut_store_answers", 1, false},
    kind_row{fault_kind::reset_store_link, "reset_store_link", 1, false},
    kind_row{fault_kind::store_away, "store_away", 1, false},
    kind_row{fault_kind::lose_store_answers, "lose_store_answers", 1, false},
    kind_row{fault_kind::delay_engine_link, "delay_engine_link", 1, false},
    kind_row{fault_kind::silence_engine_link, "silence_engine_link", 1, false},
    kind_row{fault_kind::cut_engine_answers, "cut_engine_answers", 1, false},
    kind_row{fault_kind::reset_engine_link, "reset_engine_link", 1, false},
    kind_row{fault_kind::crash_engine, "crash_engine", 2, false},
    kind_row{fault_kind::drain_engine, "drain_engine", 1, true},
    kind_row{fault_kind::add_key, "add_key", 1, true},
    kind_row{fault_kind::revoke_key, "revoke_key", 2, true},
    kind_row{fault_kind::withdraw_tenants, "withdraw_tenants", 1, true},
    kind_row{fault_kind::odd_entries, "odd_entries", 1, true},
    kind_row{fault_kind::store_return, "store_return", 2, false},
    kind_row{fault_kind::store_turns_away, "store_turns_away", 1, false},
};

// The plans of seeds that failed before the later kinds came must not change, so these are drawn apart.
constexpr std::size_t first_kinds = 18;
constexpr std::size_t later_kinds = 20;
constexpr unsigned later_kinds_salt = 0x5eed;
constexpr unsigned return_kinds_salt = 0xba5e;
constexpr int later_kinds_gap = 20;
constexpr int return_kinds_gap = 6;

constexpr std::size_t longest_series = 4;
constexpr int least_duration_ms = 200;
constexpr int most_duration_ms = 4500;
constexpr int most_series_gap_ms = 900;
constexpr std::size_t any_target = 1000;

const kind_row& row_of(fault_kind kind) {
    return *std::find_if(kinds.begin(), kinds.end(), [&](const kind_row& row) { return row.kind == kind; });
}

// Kinds that are drawn apart from the others: the rows from `first` to before `end`.
struct kinds_apart {
    std::size_t first;
    std::size_t end;
    unsigned salt;
    /// Mean time between two of them, in gaps of the other kinds.
    int gaps;
};

void add_apart(std::vector<planned_fault>& plan, const plan_settings& settings, const kinds_apart& drawn) {
    std::vector<double> weights;
    for (std::size_t i = drawn.first; i < drawn.end; ++i) {
        weights.push_back(kinds.at(i).weight);
    }
    std::mt19937 random(settings.seed ^ drawn.salt);
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    const int gap = drawn.gaps * int(settings.gap.count());
    for (core::milliseconds at{0};
         (at += core::milliseconds(random() % unsigned(2 * gap))) < settings.length;) {
        const auto kind = kinds.at(drawn.first + pick(random)).kind;
        const auto duration = least_duration_ms + int(random() % unsigned(most_duration_ms));
        plan.push_back({at, kind, random() % any_target, core::milliseconds(duration)});
    }
}

} // namespace

std::vector<planned_fault> make_plan(const plan_settings& settings) {
    std::mt19937 random(settings.seed);
    const auto between = [&](int low, int high) { return low + int(random() % unsigned(high - low + 1)); };
    std::vector<double> weights;
    weights.reserve(first_kinds);
    for (std::size_t i = 0; i < first_kinds; ++i) {
        weights.push_back(settings.planned_only && !kinds.at(i).planned ? 0 : kinds.at(i).weight);
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    std::vector<planned_fault> plan;
    core::milliseconds at{0};
    while ((at += core::milliseconds(between(0, int(2 * settings.gap.count())))) < settings.length) {
        const auto kind = kinds.at(pick(random)).kind;
        auto next = at;
        const auto series = 1 + random() % longest_series;
        for (std::size_t i = 0; i < series && next < settings.length; ++i) {
            plan.push_back({next, kind, random() % any_target,
                            core::milliseconds(between(least_duration_ms, most_duration_ms))});
            next += core::milliseconds(between(0, most_series_gap_ms));
        }
    }
    add_apart(plan, settings, {first_kinds, later_kinds, later_kinds_salt, later_kinds_gap});
    if (settings.returns) {
        add_apart(plan, settings, {later_kinds, kinds.size(), return_kinds_salt, return_kinds_gap});
    }
    std::stable_sort(plan.begin(), plan.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return plan;
}

bool is_planned_work(fault_kind kind) {
    return row_of(kind).planned;
}

std::string_view to_string(fault_kind kind) {
    return row_of(kind).name;
}

} // namespace figspoke::soak
