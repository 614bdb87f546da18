#include "policy/relay_choice.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

using candidate_pointers = std::vector<const relay_candidate*>;

double load_per_slot(const relay_candidate& candidate) {
    return double(candidate.load) / double(std::max(candidate.slots, 1));
}

bool was_tried(const placement_request& placement, const relay_candidate& candidate) {
    return std::find(placement.tried.begin(), placement.tried.end(), candidate.id) != placement.tried.end();
}

bool has_capacity(const relay_candidate& candidate, const relay_choice_settings& settings) {
    return !candidate.at_capacity && candidate.load < int(settings.max_load_per_slot * candidate.slots);
}

// Expected time until the request is done, in units of its usual work: work slows as the slots fill and waits
// beyond them.
double load_cost(const relay_candidate& candidate, const relay_choice_settings& settings,
                 const placement_request& placement) {
    const bool same_domain = candidate.failure_domain == placement.failure_domain;
    return candidate.relative_work_time * (1 + load_per_slot(candidate)) -
           (same_domain ? settings.domain_preference : 0.0);
}

// The same on every node, and monotonic in the pace: a prefix that was taken over stays.
bool owns_prefix(const relay_candidate& candidate, std::uint64_t prefix) {
    if (candidate.pace_share >= 1) {
        return true;
    }
    constexpr double whole = 1ULL << 32U;
    const auto hash = core::stable_hash(candidate.id + '\n' + std::to_string(prefix));
    return double(hash >> 32U) / whole < candidate.pace_share;
}

relay_choice choose_earliest_first_byte(const candidate_pointers& available,
                                        const relay_choice_settings& settings,
                                        const placement_request& placement) {
    // Rendezvous order is the same on every node, so that all nodes agree on the owners of a prefix.
    auto ordered = core::rendezvous_order(
        std::to_string(placement.prefix), available,
        [](const relay_candidate& candidate) -> std::string_view { return candidate.id; });
    // An upstream that has just started has nothing in its cache. It takes over its prefixes in the measure
    // of its pace; until then they stay with the next owner, where they are cached.
    std::stable_partition(ordered.begin(), ordered.end(), [&](const relay_candidate* candidate) {
        return owns_prefix(*candidate, placement.prefix);
    });
    std::size_t best = 0;
    double best_cost = 0;
    double best_prefill = 0;
    for (std::size_t i = 0; i < ordered.size(); ++i) {
        // All nodes send requests for a prefix to its first owner, so it is assumed to be cached there even
        // if this node has sent none.
        const double prefill = i == 0 ? ordered[i]->cached_prefill_ms : ordered[i]->own_prefill_ms;
        const double penalty = i < settings.owners ? 0.0 : settings.non_owner_penalty_ms;
        const double cost = ordered[i]->pending_ms + prefill +
                            settings.ms_per_request * ordered[i]->relative_step_time * ordered[i]->load +
                            penalty;
        if (i == 0 || cost < best_cost) {
            best = i;
            best_cost = cost;
            best_prefill = prefill;
        }
    }
    const auto reason = best == 0 ? relay_reason::prefix_owner : relay_reason::prefix_overflow;
    return {ordered[best]->id, reason, ordered[best]->load, ordered[best]->pending_ms, best_prefill};
}

relay_choice choose_less_loaded_of_two(const candidate_pointers& available,
                                       const relay_choice_settings& settings,
                                       const placement_request& placement, relay_reason reason) {
    const auto pick = [&](double draw) {
        return available[std::min(std::size_t(draw * double(available.size())), available.size() - 1)];
    };
    const auto* first = pick(placement.first);
    const auto* second = pick(placement.second);
    const auto* best =
        load_cost(*second, settings, placement) < load_cost(*first, settings, placement) ? second : first;
    return {best->id, reason, best->load, best->pending_ms, best->own_prefill_ms};
}

} // namespace

relay_choice choose_relay_upstream(const std::vector<relay_candidate>& candidates,
                                   const relay_choice_settings& settings,
                                   const placement_request& placement) {
    candidate_pointers available;
    candidate_pointers beyond_pace;
    candidate_pointers suspects;
    bool any_untried = false;
    for (const auto& candidate : candidates) {
        if (was_tried(placement, candidate)) {
            continue;
        }
        any_untried = true;
        if (has_capacity(candidate, settings)) {
            auto& group = candidate.suspect ? suspects : candidate.over_pace ? beyond_pace : available;
            group.push_back(&candidate);
        }
    }
    if (!available.empty()) {
        if (placement.prefix != 0) {
            return choose_earliest_first_byte(available, settings, placement);
        }
        return choose_less_loaded_of_two(available, settings, placement, relay_reason::two_choices);
    }
    if (!beyond_pace.empty()) {
        if (placement.prefix == 0) {
            return choose_less_loaded_of_two(beyond_pace, settings, placement, relay_reason::beyond_pace);
        }
        auto choice = choose_earliest_first_byte(beyond_pace, settings, placement);
        choice.reason = relay_reason::beyond_pace;
        return choice;
    }
    if (!suspects.empty()) {
        return choose_less_loaded_of_two(suspects, settings, placement, relay_reason::last_resort);
    }
    return {{}, any_untried ? relay_reason::full : relay_reason::none, 0, 0, 0};
}

std::string_view to_string(relay_reason value) {
    switch (value) {
    case relay_reason::prefix_owner:
        return "prefix_owner";
    case relay_reason::prefix_overflow:
        return "prefix_overflow";
    case relay_reason::two_choices:
        return "two_choices";
    case relay_reason::beyond_pace:
        return "beyond_pace";
    case relay_reason::last_resort:
        return "last_resort";
    case relay_reason::full:
        return "full";
    case relay_reason::none:
        break;
    }
    return "none";
}

} // namespace figspoke::policy
