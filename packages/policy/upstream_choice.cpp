#include "policy/upstream_choice.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

constexpr std::array<std::string_view, 5> reason_names = {"prefix_owner", "prefix_cached", "prefix_overflow",
                                                          "two_choices", "round_robin"};

using open_candidates = std::vector<const upstream_candidate*>;

bool is_full(const upstream_candidate& candidate) {
    return candidate.load >= candidate.slots + candidate.queue_limit;
}

open_candidates open_of(const std::vector<upstream_candidate>& all, const upstream_request& request,
                        upstream_decision& decision) {
    open_candidates open;
    for (const auto& candidate : all) {
        if (!candidate.usable) {
            ++decision.unusable;
        } else if (std::find(request.tried.begin(), request.tried.end(), candidate.name) !=
                   request.tried.end()) {
            ++decision.tried;
        } else if (is_full(candidate)) {
            ++decision.full;
        } else {
            open.push_back(&candidate);
        }
    }
    decision.considered = static_cast<int>(open.size());
    return open;
}

double load_per_slot(const upstream_candidate& candidate) {
    return static_cast<double>(candidate.load) / std::max(1, candidate.slots);
}

std::size_t index_of(double draw, std::size_t size) {
    return std::min(static_cast<std::size_t>(draw * static_cast<double>(size)), size - 1);
}

const upstream_candidate* two_choices(const open_candidates& open, const upstream_settings& settings,
                                      const upstream_request& request, const upstream_draws& draws) {
    const auto first = index_of(draws.first, open.size());
    if (open.size() == 1) {
        return open.front();
    }
    // The second index skips the first, so that two different upstreams are compared.
    auto second = index_of(draws.second, open.size() - 1);
    second += second >= first ? 1 : 0;
    const auto score = [&](const upstream_candidate& candidate) {
        const bool near = candidate.failure_domain == request.failure_domain;
        return load_per_slot(candidate) + (near ? 0.0 : settings.domain_preference);
    };
    return score(*open[second]) < score(*open[first]) ? open[second] : open[first];
}

// Upper bound of a candidate's load: the mean load per slot, this request included, times the bound. The
// rounding up lets a pool without load take its first requests.
int bound_of(const open_candidates& open, const upstream_candidate& candidate, double load_bound) {
    double load = 1;
    double slots = 0;
    for (const auto* each : open) {
        load += each->load;
        slots += std::max(1, each->slots);
    }
    return static_cast<int>(std::ceil(load_bound * load * std::max(1, candidate.slots) / slots));
}

const upstream_candidate* by_prefix(const open_candidates& open, const upstream_settings& settings,
                                    const upstream_request& request, upstream_reason& reason) {
    const auto ordered = core::rendezvous_order(
        request.prefix, open, [](const upstream_candidate& one) -> std::string_view { return one.name; });
    const auto within_bound = [&](const upstream_candidate* candidate) {
        return candidate->load + 1 <= bound_of(open, *candidate, settings.load_bound);
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
    const auto open = open_of(candidates, request, decision);
    if (open.empty()) {
        if (decision.full > 0) {
            return core::fail(core::error_kind::overloaded, "all upstreams of the version are full");
        }
        return core::fail(core::error_kind::no_capacity, "no usable upstream serves the version");
    }
    const upstream_candidate* chosen = nullptr;
    if (settings.policy == upstream_policy::round_robin) {
        decision.reason = upstream_reason::round_robin;
        chosen = open[draws.turn % open.size()];
    } else if (request.prefix.empty()) {
        chosen = two_choices(open, settings, request, draws);
    } else {
        chosen = by_prefix(open, settings, request, decision.reason);
    }
    decision.name = chosen->name;
    decision.load = chosen->load;
    return decision;
}

std::string_view to_string(upstream_reason value) {
    return reason_names.at(static_cast<std::size_t>(value));
}

} // namespace figspoke::policy
