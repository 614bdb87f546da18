#include "relay/candidates.h"

#include <algorithm>

#include "relay/boot_clock.h"
#include "relay/slices.h"

namespace figspoke::relay {
namespace {

// Part of an engine's memory that requests may fill by estimate. Beyond it running requests are preempted and
// their prompts read again.
constexpr double memory_fill_limit = 0.9;

bool has_model(const state::upstream_entry& entry, const std::string& model) {
    return model.empty() || entry.models.empty() ||
           std::find(entry.models.begin(), entry.models.end(), model) != entry.models.end();
}

bool fits_memory(const relay_state& node, const std::string& service, std::int64_t used,
                 std::int64_t wanted) {
    const auto found = node.routes->services.find(service);
    if (found == node.routes->services.end() || !found->second.engine || used == 0) {
        return true;
    }
    const auto capacity = found->second.engine->kv_capacity_tokens;
    return capacity <= 0 || double(used + wanted) <= memory_fill_limit * double(capacity);
}

int own_requests(const relay_state& node, const std::string& upstream) {
    const auto found = node.uses.find(upstream);
    return found == node.uses.end() ? 0 : found->second.requests;
}

// An upstream resets connections beyond those that it accepts from all nodes together, so each node uses its
// part of them only.
int connection_share(const relay_state& node, const std::string& service, const std::string& upstream) {
    const auto found = node.routes->services.find(service);
    if (found == node.routes->services.end()) {
        return state::relay_service{}.max_connections;
    }
    return std::max(found->second.max_connections / int(sharers_of(node, upstream)), 1);
}

policy::relay_candidate describe(const relay_state& node, const state::upstream_entry& entry,
                                 const upstream_need& need, core::steady_time now) {
    policy::relay_candidate candidate;
    candidate.id = entry.id;
    candidate.failure_domain = entry.failure_domain;
    candidate.slots = entry.slots;
    const auto use = total_use(node, entry.id);
    candidate.load = use.requests;
    std::int64_t shared = 0;
    for (const auto& step : need.shared) {
        shared += step.tokens;
    }
    const auto cached = policy::cached_tokens(node.prefixes, entry.id, need.shared, now);
    const auto reading = [&](std::int64_t kept) {
        const auto tokens = std::max<std::int64_t>(need.prompt_tokens - kept, 0);
        return policy::prefill_ms(node.prefill, need.model, double(tokens));
    };
    candidate.pending_ms = policy::pending_before(use.pending, need.rank);
    candidate.reading_ms = reading(cached);
    candidate.warm_reading_ms = reading(shared);
    candidate.suspect = !policy::is_usable(node.health, entry.id, now, need.may_probe);
    const auto full = node.full_until.find(entry.id);
    const bool connections_used =
        own_requests(node, entry.id) >= connection_share(node, need.service, entry.id);
    candidate.backing_off = (full != node.full_until.end() && full->second > now) || connections_used ||
                            !fits_memory(node, need.service, use.tokens, need.tokens);
    return candidate;
}

} // namespace

upstream_use total_use(const relay_state& node, const std::string& upstream) {
    auto use = node.peers->peer_use(upstream);
    if (const auto own = node.uses.find(upstream); own != node.uses.end()) {
        add_use(use, own->second);
    }
    return use;
}

std::vector<policy::relay_candidate> relay_candidates(const relay_state& node, const upstream_need& need) {
    const auto now = boot_now();
    std::vector<policy::relay_candidate> candidates;
    for (const auto* entry : state::serving_upstreams(node.registry, need.service)) {
        const bool right_version = (need.only_version.empty() || entry->version == need.only_version) &&
                                   (need.avoided_version.empty() || entry->version != need.avoided_version);
        const bool right_cell = in_own_slice(node, entry->id);
        if (right_version && right_cell && has_model(*entry, need.model)) {
            candidates.push_back(describe(node, *entry, need, now));
        }
    }
    return candidates;
}

policy::relay_choice_settings choice_settings(const relay_state& node, const std::string& service) {
    policy::relay_choice_settings settings;
    const auto found = node.routes->services.find(service);
    const bool engine = found != node.routes->services.end() && found->second.engine.has_value();
    // Plain services queue a few requests beyond their slots; a short wait there beats one here.
    settings.fill_limit = engine ? 1.0 : 1.5;
    return settings;
}

} // namespace figspoke::relay
