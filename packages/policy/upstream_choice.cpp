#include "policy/upstream_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 5> reason_names = {"prefix_owner", "prefix_cached", "prefix_overflow",
                                                          "two_choices", "round_robin"};

using candidate_list = std::vector<const upstream_candidate*>;

bool is_full(const upstream_candidate& candidate) {
    return candidate.load >= candidate.slots + candidate.queue_limit;
}

candidate_list eligible_candidates(const std::vector<upstream_candidate>& all,
                                   const upstream_request& request, upstream_decision& decision) {
    candidate_list eligible;
    for (const auto& candidate : all) {
        if (!candidate.usable) {
            ++decision.unusable;
        } else if (std::find(request.tried.begin(), request.tried.end(), candidate.name) !=
                   request.tried.end()) {
            ++decision.tried;
        } else if (is_full(candidate)) {
            ++decision.full;
        } else {
            eligible.push_back(&candidate);
        }
    }
    decision.eligible = static_cast<int>(eligible.size());
    return eligible;
}

double load_per_slot(const upstream_candidate& candidate) {
    return static_cast<double>(candidate.load) / std::max(1, candidate.slots);
}

std::size_t index_from_draw(double draw, std::size_t size) {
    return std::min(static_cast<std::size_t>(draw * static_cast<double>(size)), size - 1);
}

const upstream_candidate* choose_by_two_choices(const candidate_list& eligible,
                                                const upstream_settings& settings,
                                                const upstream_request& request,
                                                const upstream_draws& draws) {
    const auto first = index_from_draw(draws.first, eligible.size());
    if (eligible.size() == 1) {
        return eligible.front();
    }
    // The second index skips the first, so that two different upstreams are compared.
    auto second = index_from_draw(draws.second, eligible.size() - 1);
    second += second >= first ? 1 : 0;
    const auto score = [&](const upstream_candidate& candidate) {
        const bool same_domain = candidate.failure_domain == request.failure_domain;
        return load_per_slot(candidate) + (same_domain ? 0.0 : settings.domain_preference);
    };
    return score(*eligible[second]) < score(*eligible[first]) ? eligible[second] : eligible[first];
}

// Returns the largest allowed load of a candidate: its slots times the mean load per slot, including this
// request, times `load_bound`. Rounding up lets idle upstreams take their first requests.
int max_load_of(const candidate_list& eligible, const upstream_candidate& candidate, double load_bound) {
    double load = 1;
    double slots = 0;
    for (const auto* other : eligible) {
        load += other->load;
        slots += std::max(1, other->slots);
    }
    return static_cast<int>(std::ceil(load_bound * load * std::max(1, candidate.slots) / slots));
}

const upstream_candidate* choose_by_prefix(const candidate_list& eligible, const upstream_settings& settings,
                                           const upstream_request& request, upstream_reason& reason) {
    const auto ordered = core::rendezvous_order(
        request.prefix, eligible,
        [](const upstream_candidate& candidate) -> std::string_view { return candidate.name; });
    const auto within_bound = [&](const upstream_candidate* candidate) {
        return candidate->load + 1 <= max_load_of(eligible, *candidate, settings.load_bound);
    };
    if (within_bound(ordered.front())) {
        reason = upstream_reason::prefix_owner;
        return ordered.front();
    }
    for (const auto* candidate : ordered) {
        if (candidate->prefix_hint && within_bound(candidate)) {
            reason = upstream_reason::prefix_cached;
            return candidate;
        }
    }
    reason = upstream_reason::prefix_overflow;
    const auto found = std::find_if(ordered.begin(), ordered.end(), within_bound);
    return found != ordered.end() ? *found : ordered.front();
}

} // namespace

core::result<upstream_decision> choose_upstream(const std::vector<upstream_candidate>& candidates,
                                                const upstream_settings& settings,
                                                const upstream_request& request,
                                                const upstream_draws& draws) {
    upstream_decision decision;
    const auto eligible = eligible_candidates(candidates, request, decision);
    if (eligible.empty()) {
        if (decision.full > 0) {
            return core::fail(core::error_kind::overloaded, "all upstreams of the version are full");
        }
        return core::fail(core::error_kind::no_capacity, "no usable upstream serves the version");
    }
    const upstream_candidate* chosen = nullptr;
    if (settings.policy == upstream_policy::round_robin) {
        decision.reason = upstream_reason::round_robin;
        chosen = eligible[draws.round_robin_index % eligible.size()];
    } else if (request.prefix.empty()) {
        chosen = choose_by_two_choices(eligible, settings, request, draws);
    } else {
        chosen = choose_by_prefix(eligible, settings, request, decision.reason);
    }
    decision.name = chosen->name;
    decision.load = chosen->load;
    return decision;
}

std::string_view to_string(upstream_reason value) {
    return reason_names.at(static_cast<std::size_t>(value));
}

} // namespace figspoke::policy
