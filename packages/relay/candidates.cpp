#include "relay/candidates.h"

#include <algorithm>

#include "relay/boot_clock.h"
#include "relay/paces.h"
#include "relay/restrictions.h"

namespace figspoke::relay {
namespace {

// Maximum wait for the answers of load aggregators; afterwards the node uses the load that it knows itself.
// The prefill of a prompt takes hundreds of milliseconds, so a cached prefix is worth waiting for behind a
// busy link. A plain request waits for two round trips between failure domains of a region.
constexpr core::milliseconds prompt_query_timeout{15};
constexpr core::milliseconds plain_query_timeout{4};

bool has_model(const state::upstream_entry& entry, const std::string& model) {
    return model.empty() || entry.models.empty() ||
           std::find(entry.models.begin(), entry.models.end(), model) != entry.models.end();
}

std::int64_t engine_memory(const relay_state& node, const std::string& service) {
    const auto found = node.routes->services.find(service);
    const bool engine = found != node.routes->services.end() && found->second.engine;
    return engine ? found->second.engine->kv_capacity_tokens : 0;
}

int own_requests(const relay_state& node, const std::string& upstream) {
    const auto found = node.uses.find(upstream);
    return found == node.uses.end() ? 0 : found->second.requests;
}

// Returns this node's share of the connections that an upstream accepts. The upstream resets connections
// above its limit, which counts those of all nodes.
int connection_share(const relay_state& node, const std::string& service) {
    const auto found = node.routes->services.find(service);
    if (found == node.routes->services.end()) {
        return state::relay_service{}.max_connections;
    }
    return std::max(found->second.max_connections / int(node.peers->size()), 1);
}

std::optional<policy::aggregated_load> load_from_aggregator(const relay_state& node,
                                                            const std::string& upstream) {
    return asks_load_aggregators(node) ? node.aggregators->known_load(upstream) : std::nullopt;
}

// The load aggregator has the samples of all nodes.
std::optional<policy::known_speed> speed_of(const relay_state& node, const std::string& upstream,
                                            policy::speed_measure measure, core::steady_time now) {
    if (const auto kept = load_from_aggregator(node, upstream)) {
        if (const auto& speed = kept->speeds.at(static_cast<std::size_t>(measure))) {
            return speed;
        }
    }
    return policy::find_speed(node.speeds, {}, upstream, measure, now);
}

std::vector<double> times_of(const relay_state& node, const std::vector<policy::relay_candidate>& candidates,
                             policy::speed_measure measure, core::steady_time now) {
    if (!node.settings.placement.learned_speeds) {
        return std::vector<double>(candidates.size(), 1.0);
    }
    std::vector<std::optional<policy::known_speed>> speeds;
    speeds.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        speeds.push_back(speed_of(node, candidate.id, measure, now));
    }
    return policy::relative_times(speeds, {});
}

policy::relay_candidate make_candidate(relay_state& node, const state::upstream_entry& entry,
                                       const upstream_requirements& requirements, core::steady_time now) {
    policy::relay_candidate candidate;
    candidate.id = entry.id;
    candidate.failure_domain = entry.failure_domain;
    candidate.slots = entry.slots;
    const auto kept = load_from_aggregator(node, entry.id);
    const auto use = total_use(node, entry.id);
    candidate.load = use.requests;
    // Prompts run for seconds, in which heartbeats bring a better count than a statement that misses what was
    // sent since.
    if (node.settings.placement.stated_loads && !kept && requirements.prompt_tokens == 0) {
        const auto own = own_requests(node, entry.id);
        const auto stated = node.stated_loads.find(entry.id);
        candidate.load = own + policy::estimate_peer_requests(use.requests - own,
                                                              stated == node.stated_loads.end()
                                                                  ? std::nullopt
                                                                  : std::make_optional(stated->second),
                                                              {}, now);
    }
    std::int64_t shared = 0;
    for (const auto& step : requirements.shared) {
        shared += step.tokens;
    }
    const auto cached = policy::cached_tokens(node.prefixes, entry.id, requirements.shared, now);
    const auto prefill_after = [&](std::int64_t cached_part) {
        const auto tokens = std::max<std::int64_t>(requirements.prompt_tokens - cached_part, 0);
        return policy::prefill_ms(node.prefill, requirements.model, double(tokens));
    };
    candidate.pending_ms = policy::pending_ms_ahead(use.pending, requirements.rank);
    candidate.own_prefill_ms = prefill_after(cached);
    candidate.cached_prefill_ms = prefill_after(shared);
    const auto verdict = restriction_now(node, entry, requirements.regions);
    candidate.suspect = verdict.avoid || (kept && kept->suspect) ||
                        !policy::is_usable(node.health, entry.id, now, requirements.may_probe);
    const auto full = node.full_until.find(entry.id);
    const bool connections_exhausted =
        own_requests(node, entry.id) >= connection_share(node, requirements.service);
    const bool reported_full = (kept && kept->full) || (full != node.full_until.end() && full->second > now);
    candidate.at_capacity = reported_full || connections_exhausted ||
                            verdict.reason != policy::restriction::none ||
                            !policy::has_engine_memory({}, engine_memory(node, requirements.service),
                                                       use.tokens, requirements.tokens);
    apply_pace(node, candidate, own_requests(node, entry.id));
    return candidate;
}

} // namespace

upstream_use total_use(const relay_state& node, const std::string& upstream) {
    if (const auto kept = load_from_aggregator(node, upstream)) {
        return kept->use;
    }
    auto use = node.peers->peer_use(upstream);
    if (const auto own = node.uses.find(upstream); own != node.uses.end()) {
        add_use(use, own->second);
    }
    return use;
}

std::vector<const state::upstream_entry*> registered_upstreams(const relay_state& node,
                                                               const upstream_requirements& requirements) {
    std::vector<const state::upstream_entry*> matching;
    for (const auto* entry : state::serving_upstreams(node.registry, requirements.service)) {
        const bool right_version =
            (requirements.only_version.empty() || entry->version == requirements.only_version) &&
            (requirements.excluded_version.empty() || entry->version != requirements.excluded_version);
        if (right_version && has_model(*entry, requirements.model)) {
            matching.push_back(entry);
        }
    }
    return matching;
}

// Restrictions that the passing of time doesn't end take an upstream out of the choice, so that another
// version is looked for. The others make it one without capacity.
std::vector<const state::upstream_entry*> matching_upstreams(relay_state& node,
                                                             const upstream_requirements& requirements) {
    auto matching = registered_upstreams(node, requirements);
    matching.erase(std::remove_if(matching.begin(), matching.end(),
                                  [&](const auto* entry) {
                                      const auto reason =
                                          restriction_now(node, *entry, requirements.regions).reason;
                                      return reason == policy::restriction::evacuated ||
                                             reason == policy::restriction::leaving ||
                                             reason == policy::restriction::wrong_region;
                                  }),
                   matching.end());
    return matching;
}

bool any_upstream_matches(const relay_state& node, const upstream_requirements& requirements) {
    return !registered_upstreams(node, requirements).empty();
}

std::vector<policy::relay_candidate>
make_candidates(relay_state& node, const std::vector<const state::upstream_entry*>& upstreams,
                const upstream_requirements& requirements) {
    const auto now = boot_now();
    std::vector<policy::relay_candidate> candidates;
    candidates.reserve(upstreams.size());
    for (const auto* entry : upstreams) {
        candidates.push_back(make_candidate(node, *entry, requirements, now));
    }
    const auto prefill = times_of(node, candidates, policy::speed_measure::prefill, now);
    const auto generation = times_of(node, candidates, policy::speed_measure::generation, now);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].own_prefill_ms *= prefill[i];
        candidates[i].cached_prefill_ms *= prefill[i];
        candidates[i].relative_work_time = prefill[i];
        candidates[i].relative_step_time = generation[i];
    }
    return candidates;
}

std::vector<policy::relay_candidate> relay_candidates(relay_state& node,
                                                      const upstream_requirements& requirements,
                                                      const policy::placement_request& placement,
                                                      const boost::asio::yield_context& yield) {
    const auto matching = matching_upstreams(node, requirements);
    if (!asks_load_aggregators(node)) {
        return make_candidates(node, matching, requirements);
    }
    std::vector<std::string> untried;
    for (const auto* entry : matching) {
        if (std::find(placement.tried.begin(), placement.tried.end(), entry->id) == placement.tried.end()) {
            untried.push_back(entry->id);
        }
    }
    // In a large fleet most nodes may not send to an upstream with a limit; it would only take a place on the
    // shortlist. Where all are at their limits, the choice must still find that they are at capacity.
    std::vector<std::string> unrestricted;
    for (const auto* entry : matching) {
        const bool is_untried = std::find(untried.begin(), untried.end(), entry->id) != untried.end();
        if (is_untried &&
            restriction_now(node, *entry, requirements.regions).reason == policy::restriction::none) {
            unrestricted.push_back(entry->id);
        }
    }
    if (!unrestricted.empty()) {
        untried = std::move(unrestricted);
    }
    const policy::shortlist_settings settings;
    std::vector<double> draws;
    for (std::size_t i = 0; i < settings.owners + settings.others; ++i) {
        draws.push_back(draw(node));
    }
    const bool granted =
        node.settings.placement.memory_grants && engine_memory(node, requirements.service) > 0;
    const auto wanted = granted ? requirements.tokens : std::int64_t(0);
    const auto asked = policy::shortlist(placement.prefix, untried, draws, settings);
    node.aggregators->query(asked, wanted, placement.prefix == 0 ? plain_query_timeout : prompt_query_timeout,
                            yield);
    // The registry may have changed during the query.
    std::vector<const state::upstream_entry*> shortlisted;
    for (const auto* entry : matching_upstreams(node, requirements)) {
        if (std::find(asked.begin(), asked.end(), entry->id) != asked.end()) {
            shortlisted.push_back(entry);
        }
    }
    return make_candidates(node, shortlisted, requirements);
}

policy::relay_choice_settings choice_settings(const relay_state& node, const std::string& service) {
    policy::relay_choice_settings settings;
    const auto found = node.routes->services.find(service);
    const bool engine = found != node.routes->services.end() && found->second.engine.has_value();
    // Plain services queue a few requests beyond their slots; a short wait there is better than one in the
    // relay's queue.
    settings.max_load_per_slot = engine ? 1.0 : 1.5;
    return settings;
}

} // namespace figspoke::relay
