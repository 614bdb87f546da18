#include "policy/relay_choice.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

using candidates_view = std::vector<const relay_candidate*>;

double load_per_slot(const relay_candidate& candidate) {
    return double(candidate.load) / double(std::max(candidate.slots, 1));
}

bool was_tried(const relay_wish& wish, const relay_candidate& candidate) {
    return std::find(wish.tried.begin(), wish.tried.end(), candidate.id) != wish.tried.end();
}

bool has_room(const relay_candidate& candidate, const relay_choice_settings& settings) {
    return !candidate.backing_off && candidate.load < int(settings.fill_limit * candidate.slots);
}

double cost_of(const relay_candidate& candidate, const relay_choice_settings& settings,
               const relay_wish& wish) {
    const bool near = candidate.failure_domain == wish.failure_domain;
    return load_per_slot(candidate) - (near ? settings.domain_preference : 0.0);
}

relay_choice choose_soonest(const candidates_view& candidates, const relay_choice_settings& settings,
                            const relay_wish& wish) {
    // The same order on every node, so that all of them name the same owner of a prefix.
    const auto open =
        core::rendezvous_order(std::to_string(wish.prefix), candidates,
                               [](const relay_candidate& one) -> std::string_view { return one.id; });
    std::size_t best = 0;
    double best_cost = 0;
    double best_reading = 0;
    for (std::size_t i = 0; i < open.size(); ++i) {
        // All nodes send a prefix to its first owner, so it is kept there whether this node saw it or not.
        const double reading = i == 0 ? open[i]->warm_reading_ms : open[i]->reading_ms;
        const double scatter = i < settings.owners ? 0.0 : settings.scatter_ms;
        const double cost = open[i]->pending_ms + reading + settings.ms_per_request * open[i]->load + scatter;
        if (i == 0 || cost < best_cost) {
            best = i;
            best_cost = cost;
            best_reading = reading;
        }
    }
    const auto reason = best == 0 ? relay_reason::prefix_owner : relay_reason::prefix_overflow;
    return {open[best]->id, reason, open[best]->load, open[best]->pending_ms, best_reading};
}

relay_choice choose_better_of_two(const candidates_view& open, const relay_choice_settings& settings,
                                  const relay_wish& wish, relay_reason reason) {
    const auto pick = [&](double draw) {
        return open[std::min(std::size_t(draw * double(open.size())), open.size() - 1)];
    };
    const auto* first = pick(wish.first);
    const auto* second = pick(wish.second);
    const auto* best = cost_of(*second, settings, wish) < cost_of(*first, settings, wish) ? second : first;
    return {best->id, reason, best->load, best->pending_ms, best->reading_ms};
}

} // namespace

relay_choice choose_relay_upstream(const std::vector<relay_candidate>& candidates,
                                   const relay_choice_settings& settings, const relay_wish& wish) {
    candidates_view open;
    candidates_view suspects;
    bool any = false;
    for (const auto& candidate : candidates) {
        if (was_tried(wish, candidate)) {
            continue;
        }
        any = true;
        if (has_room(candidate, settings)) {
            (candidate.suspect ? suspects : open).push_back(&candidate);
        }
    }
    if (!open.empty()) {
        if (wish.prefix != 0) {
            return choose_soonest(open, settings, wish);
        }
        return choose_better_of_two(open, settings, wish, relay_reason::two_choices);
    }
    if (!suspects.empty()) {
        return choose_better_of_two(suspects, settings, wish, relay_reason::last_resort);
    }
    return {{}, any ? relay_reason::full : relay_reason::none, 0, 0, 0};
}

std::string_view to_string(relay_reason value) {
    switch (value) {
    case relay_reason::prefix_owner:
        return "prefix_owner";
    case relay_reason::prefix_overflow:
        return "prefix_overflow";
    case relay_reason::two_choices:
        return "two_choices";
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
