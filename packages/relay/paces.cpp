#include "relay/paces.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "relay/boot_clock.h"
#include "relay/pace_message.h"

namespace figspoke::relay {
namespace {

// Maximum number of upstreams in a datagram.
constexpr std::size_t max_told = 400;

void tell_peers(relay_state& node, const pace_message& message) {
    if (!message.empty() && !asks_load_aggregators(node)) {
        node.peers->broadcast(encode_pace_message(message));
    }
}

void log_pace(relay_state& node, const std::string& upstream, const char* cause) {
    const auto found = node.upstream_paces.upstreams.find(upstream);
    nlohmann::json line = {{"upstream", upstream}, {"cause", cause}};
    if (found != node.upstream_paces.upstreams.end()) {
        line["limit"] = found->second.limit;
        line["slots"] = found->second.slots;
        line["setbacks"] = found->second.setbacks;
    }
    node.log.state("upstream_pace", line);
    node.metrics.set("relay_paced_upstreams", {}, double(node.upstream_paces.upstreams.size()));
}

} // namespace

void begin_upstream_pace(relay_state& node, const std::string& upstream, const char* cause) {
    if (!node.settings.placement.paces) {
        return;
    }
    const auto entry = node.registry.upstreams.find(upstream);
    if (entry == node.registry.upstreams.end()) {
        return;
    }
    policy::begin_pace(node.upstream_paces, {}, upstream, entry->second.entry.slots, boot_now());
    node.aggregators->begin_pace(upstream);
    log_pace(node, upstream, cause);
}

void record_pace_event(relay_state& node, const std::string& upstream, policy::upstream_event event) {
    const auto answer = policy::pace_answer_of(event);
    const auto before = node.upstream_paces.upstreams.find(upstream);
    if (!answer || before == node.upstream_paces.upstreams.end()) {
        return;
    }
    const auto record = before->second;
    if (!policy::record_pace_answer(node.upstream_paces, {}, upstream, *answer,
                                    node.peers->sender_place().nodes.size(), boot_now())) {
        return;
    }
    const auto after = node.upstream_paces.upstreams.find(upstream);
    const bool ended = after == node.upstream_paces.upstreams.end();
    tell_peers(node, {{upstream, ended ? pace_record{record.slots, record.setbacks}
                                       : pace_record{after->second.limit, after->second.setbacks}}});
    log_pace(node, upstream, "answers");
}

void merge_pace_message(relay_state& node, std::string_view bytes) {
    if (!node.settings.placement.paces) {
        return;
    }
    const auto message = decode_pace_message(bytes);
    if (!message) {
        return;
    }
    for (const auto& [upstream, record] : *message) {
        if (policy::merge_pace(node.upstream_paces, upstream, record.limit, record.setbacks, boot_now())) {
            log_pace(node, upstream, "peer");
        }
    }
}

void refresh_paces(relay_state& node) {
    policy::expire_paces(node.upstream_paces, {}, boot_now());
    policy::expire_speeds(node.speeds, {}, boot_now());
    pace_message message;
    for (const auto& [upstream, pace] : node.upstream_paces.upstreams) {
        if (message.size() < max_told) {
            message[upstream] = {pace.limit, pace.setbacks};
        }
    }
    tell_peers(node, message);
    node.metrics.set("relay_paced_upstreams", {}, double(node.upstream_paces.upstreams.size()));
}

void apply_pace(const relay_state& node, policy::relay_candidate& candidate, int own_requests) {
    if (!node.settings.placement.paces) {
        return;
    }
    if (asks_load_aggregators(node)) {
        if (const auto kept = node.aggregators->known_load(candidate.id)) {
            if (kept->pace_limit) {
                candidate.pace_share = double(*kept->pace_limit) / std::max(candidate.slots, 1);
                candidate.over_pace = candidate.load >= *kept->pace_limit;
            }
            return;
        }
    }
    const auto found = node.upstream_paces.upstreams.find(candidate.id);
    if (found == node.upstream_paces.upstreams.end()) {
        return;
    }
    const int limit = found->second.limit;
    const auto& place = node.peers->sender_place();
    candidate.pace_share = policy::pace_share(node.upstream_paces, candidate.id);
    candidate.over_pace = candidate.load >= limit ||
                          own_requests >= policy::pace_part(limit, candidate.id, place.self, place.nodes);
}

} // namespace figspoke::relay
