#include "relay/candidates.h"

#include <algorithm>

#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Part of an engine's memory that requests may fill by estimate. Beyond it running requests are preempted and
// their prompts read again.
constexpr double memory_fill_limit = 0.9;

// How long a request waits for the keepers' answers; then it goes by what the node knows itself. A prompt
// takes hundreds of milliseconds to read, so that the right engine is worth waiting for behind a busy link; a
// plain request waits for two round trips between failure domains of a region.
constexpr core::milliseconds prompt_patience{15};
constexpr core::milliseconds plain_patience{4};

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
int connection_share(const relay_state& node, const std::string& service) {
    const auto found = node.routes->services.find(service);
    if (found == node.routes->services.end()) {
        return state::relay_service{}.max_connections;
    }
    return std::max(found->second.max_connections / int(node.peers->size()), 1);
}

std::optional<policy::kept_load> load_at_keeper(const relay_state& node, const std::string& upstream) {
    return asks_keepers(node) ? node.keepers->known_load(upstream) : std::nullopt;
}

policy::relay_candidate describe(const relay_state& node, const state::upstream_entry& entry,
                                 const upstream_need& need, core::steady_time now) {
    policy::relay_candidate candidate;
    candidate.id = entry.id;
    candidate.failure_domain = entry.failure_domain;
    candidate.slots = entry.slots;
    const auto kept = load_at_keeper(node, entry.id);
    const auto use = total_use(node, entry.id);
    candidate.load = use.requests;
    std::int64_t shared = 0;
    for (const auto& step : need.shared) {
        shared += step.tokens;
    }
    const auto cached = policy::cached_tokens(node.prefixes, entry.id, need.shared, now);
    const auto reading = [&](std::int64_t cached_part) {
        const auto tokens = std::max<std::int64_t>(need.prompt_tokens - cached_part, 0);
        return policy::prefill_ms(node.prefill, need.model, double(tokens));
    };
    candidate.pending_ms = policy::pending_before(use.pending, need.rank);
    candidate.reading_ms = reading(cached);
    candidate.warm_reading_ms = reading(shared);
    candidate.suspect =
        (kept && kept->suspect) || !policy::is_usable(node.health, entry.id, now, need.may_probe);
    const auto full = node.full_until.find(entry.id);
    const bool connections_used = own_requests(node, entry.id) >= connection_share(node, need.service);
    const bool said_full = (kept && kept->full) || (full != node.full_until.end() && full->second > now);
    candidate.backing_off =
        said_full || connections_used || !fits_memory(node, need.service, use.tokens, need.tokens);
    return candidate;
}

} // namespace

upstream_use total_use(const relay_state& node, const std::string& upstream) {
    if (const auto kept = load_at_keeper(node, upstream)) {
        return kept->use;
    }
    auto use = node.peers->peer_use(upstream);
    if (const auto own = node.uses.find(upstream); own != node.uses.end()) {
        add_use(use, own->second);
    }
    return use;
}

std::vector<const state::upstream_entry*> fitting_upstreams(const relay_state& node,
                                                            const upstream_need& need) {
    std::vector<const state::upstream_entry*> fitting;
    for (const auto* entry : state::serving_upstreams(node.registry, need.service)) {
        const bool right_version = (need.only_version.empty() || entry->version == need.only_version) &&
                                   (need.avoided_version.empty() || entry->version != need.avoided_version);
        if (right_version && has_model(*entry, need.model)) {
            fitting.push_back(entry);
        }
    }
    return fitting;
}

std::vector<policy::relay_candidate>
describe_upstreams(const relay_state& node, const std::vector<const state::upstream_entry*>& upstreams,
                   const upstream_need& need) {
    const auto now = boot_now();
    std::vector<policy::relay_candidate> candidates;
    candidates.reserve(upstreams.size());
    for (const auto* entry : upstreams) {
        candidates.push_back(describe(node, *entry, need, now));
    }
    return candidates;
}

std::vector<policy::relay_candidate> relay_candidates(relay_state& node, const upstream_need& need,
                                                      const policy::relay_wish& wish,
                                                      const boost::asio::yield_context& yield) {
    const auto fitting = fitting_upstreams(node, need);
    if (!asks_keepers(node)) {
        return describe_upstreams(node, fitting, need);
    }
    std::vector<std::string> open;
    for (const auto* entry : fitting) {
        if (std::find(wish.tried.begin(), wish.tried.end(), entry->id) == wish.tried.end()) {
            open.push_back(entry->id);
        }
    }
    const policy::shortlist_settings settings;
    std::vector<double> draws;
    for (std::size_t i = 0; i < settings.owners + settings.others; ++i) {
        draws.push_back(draw(node));
    }
    const auto asked = policy::shortlist(wish.prefix, open, draws, settings);
    node.keepers->ask(asked, wish.prefix == 0 ? plain_patience : prompt_patience, yield);
    // The registry may have changed meanwhile.
    std::vector<const state::upstream_entry*> named;
    for (const auto* entry : fitting_upstreams(node, need)) {
        if (std::find(asked.begin(), asked.end(), entry->id) != asked.end()) {
            named.push_back(entry);
        }
    }
    return describe_upstreams(node, named, need);
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
