#include "relay/restrictions.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "relay/boot_clock.h"
#include "relay/limit_message.h"
#include "relay/limits.h"

namespace figspoke::relay {
namespace {

// A node that can't reach more than this part of all upstreams has lost its own network, and tells nobody.
constexpr double max_told_part = 0.5;
// Number of upstreams in a datagram.
constexpr std::size_t max_told = 400;
constexpr core::milliseconds recent_failure{2000};

policy::cold_limit_settings cold_settings(const relay_state& node, const std::string& service) {
    policy::cold_limit_settings settings;
    if (!node.routes) {
        return settings;
    }
    if (const auto found = node.routes->services.find(service); found != node.routes->services.end()) {
        settings.per_second = found->second.cold_per_second;
        settings.most_in_second =
            settings.per_second * node.settings.bounds.cold_ratio + node.settings.bounds.cold_slack;
        settings.cold_start = found->second.cold_start;
    }
    return settings;
}

policy::cold_statement registered_cold_time(const state::upstream_entry& entry) {
    return {entry.incarnation, entry.cold_for};
}

std::string region_of(const relay_state& node, const std::string& failure_domain) {
    const auto found = node.settings.regions.find(failure_domain);
    return found == node.settings.regions.end() ? std::string() : found->second;
}

const state::upstream_entry* find_entry(const relay_state& node, const std::string& upstream) {
    const auto found = node.registry.upstreams.find(upstream);
    return found == node.registry.upstreams.end() ? nullptr : &found->second.entry;
}

void log_cold(relay_state& node, const std::string& upstream, const char* source) {
    node.metrics.add("relay_cold_upstreams_total", {{"source", source}});
    node.log.state("upstream_cold", {{"upstream", upstream}, {"source", source}});
}

// A choice looks at every upstream of a service, and most of the time none is restricted.
bool restricts_nothing(const relay_state& node, const state::upstream_entry& entry,
                       const request_regions& regions) {
    return !entry.draining && regions.of_route.empty() && regions.of_account.empty() &&
           node.evacuated.empty() && node.notices.upstreams.empty() && node.cold.upstreams.empty() &&
           node.limits.upstreams.empty();
}

bool own_network_fails(const relay_state& node) {
    const auto now = boot_now();
    const auto recent =
        std::count_if(node.cold.upstreams.begin(), node.cold.upstreams.end(), [&](const auto& entry) {
            return entry.second.down_at != core::steady_time::min() &&
                   now - entry.second.down_at < recent_failure;
        });
    return double(recent) > max_told_part * double(node.registry.upstreams.size());
}

} // namespace

policy::restriction_verdict restriction_now(relay_state& node, const state::upstream_entry& entry,
                                            const request_regions& regions) {
    const auto now = boot_now();
    if (restricts_nothing(node, entry, regions)) {
        return {policy::restriction::none, now};
    }
    policy::restriction_input input;
    input.draining = entry.draining;
    input.allowed_region = (regions.of_route.empty() && regions.of_account.empty()) ||
                           policy::is_allowed_region(region_of(node, entry.failure_domain), regions.of_route,
                                                     regions.of_account);
    input.evacuated = node.evacuated.count(entry.failure_domain) > 0;
    input.notice = policy::find_notice(node.notices, entry.id, entry.incarnation);
    if (node.cold.upstreams.count(entry.id) > 0) {
        input.cold_send_at = policy::next_cold_send(node.cold, cold_settings(node, entry.service), entry.id,
                                                    node.peers->steady_place(), now);
    }
    input.named_send_at = next_send_within_limit(node, entry.id, now);
    return policy::restriction_of(input, node.settings.bounds.drain, now);
}

std::optional<policy::restriction_verdict> service_restriction(relay_state& node, const std::string& service,
                                                               const request_regions& regions) {
    std::vector<policy::restriction_verdict> verdicts;
    for (const auto& [id, record] : node.registry.upstreams) {
        if (record.entry.service == service) {
            verdicts.push_back(restriction_now(node, record.entry, regions));
            if (verdicts.back().reason == policy::restriction::none) {
                return std::nullopt;
            }
        }
    }
    return policy::first_to_end(verdicts);
}

bool is_withdrawn(relay_state& node, const state::upstream_entry& chosen) {
    const auto* entry = find_entry(node, chosen.id);
    if (entry == nullptr || entry->incarnation != chosen.incarnation || entry->address != chosen.address) {
        return true;
    }
    const auto reason = restriction_now(node, *entry, {}).reason;
    return reason == policy::restriction::draining || reason == policy::restriction::evacuated ||
           reason == policy::restriction::leaving;
}

bool is_evacuated(const relay_state& node, const std::string& upstream) {
    const auto* entry = find_entry(node, upstream);
    return entry != nullptr && node.evacuated.count(entry->failure_domain) > 0;
}

void apply_evacuations(relay_state& node, std::set<std::string> domains) {
    if (domains == node.evacuated) {
        return;
    }
    const auto before = std::exchange(node.evacuated, std::move(domains));
    const auto now = boot_now();
    for (const auto& [id, record] : node.registry.upstreams) {
        const bool was = before.count(record.entry.failure_domain) > 0;
        const bool is = node.evacuated.count(record.entry.failure_domain) > 0;
        if (is && !was) {
            node.pool.drop(id);
        } else if (was && !is) {
            policy::assume_cold(node.cold, cold_settings(node, record.entry.service), id,
                                registered_cold_time(record.entry), now);
        }
    }
    node.metrics.set("relay_evacuated_domains", {}, double(node.evacuated.size()));
    node.log.state("evacuations_changed", {{"evacuated", node.evacuated}, {"previous", before}});
}

void apply_registered_cold_times(relay_state& node) {
    const auto now = boot_now();
    const auto confirmed_at = node.registry.confirmed_at;
    for (const auto& [id, record] : node.registry.upstreams) {
        const auto& entry = record.entry;
        if (entry.cold_for <= core::milliseconds(0) && node.cold.upstreams.count(id) == 0) {
            continue;
        }
        if (policy::record_cold_statement(node.cold, cold_settings(node, entry.service), id,
                                          registered_cold_time(entry), now)) {
            log_cold(node, id, "registry");
        }
        if (!record.missing) {
            policy::confirm_running(node.cold, id, confirmed_at);
        }
    }
    policy::expire_cold_limits(node.cold, now);
    policy::expire_notices(node.notices, now, [&](const std::string& id, std::int64_t incarnation) {
        const auto* entry = find_entry(node, id);
        return entry != nullptr && entry->incarnation == incarnation;
    });
}

void record_upstream_down(relay_state& node, const std::string& upstream, link_failure cause) {
    const auto* entry = find_entry(node, upstream);
    if (entry == nullptr) {
        return;
    }
    const auto now = boot_now();
    if (!policy::record_down(node.cold, cold_settings(node, entry->service), upstream,
                             registered_cold_time(*entry), now)) {
        return;
    }
    log_cold(node, upstream, "unreachable");
    if (cause == link_failure::refused && !own_network_fails(node)) {
        node.untold_down[upstream] = now;
    }
}

void assume_all_cold(relay_state& node) {
    const auto now = boot_now();
    for (const auto& [id, record] : node.registry.upstreams) {
        policy::assume_cold(node.cold, cold_settings(node, record.entry.service), id,
                            registered_cold_time(record.entry), now);
    }
}

void record_answer_notice(relay_state& node, const state::upstream_entry& entry, const answer_head& head) {
    const auto now = boot_now();
    if (head.unusable_fields > 0) {
        node.metrics.add("relay_unusable_answer_fields_total", {}, double(head.unusable_fields));
    }
    if (head.wrong_upstream) {
        policy::uncount_cold_send(node.cold, entry.id);
        return;
    }
    if (head.leaving && policy::record_leaving(node.notices, entry.id, entry.incarnation, now)) {
        node.log.state("upstream_leaving", {{"upstream", entry.id}});
    }
    if (head.quiet_for) {
        policy::record_quiet(node.notices, entry.id, entry.incarnation, *head.quiet_for,
                             node.settings.node_id, now);
        node.metrics.add("relay_quiet_requests_total", {{"service", entry.service}});
    }
    if (head.cold_for && policy::record_cold_statement(node.cold, cold_settings(node, entry.service),
                                                       entry.id, {entry.incarnation, *head.cold_for}, now)) {
        log_cold(node, entry.id, "answer");
    }
}

void count_limited_send(relay_state& node, const std::string& upstream) {
    policy::count_send(node.limits, upstream);
    policy::count_cold_send(node.cold, upstream);
}

void tell_down_upstreams(relay_state& node) {
    if (node.untold_down.empty()) {
        return;
    }
    const auto now = boot_now();
    down_message message;
    for (const auto& [upstream, at] : node.untold_down) {
        if (message.size() < max_told) {
            message[upstream] = core::to_ms(now - at);
        }
    }
    node.untold_down.clear();
    node.peers->broadcast(encode_down_message(message));
}

void merge_down_message(relay_state& node, std::string_view bytes) {
    const auto message = decode_down_message(bytes);
    if (!message) {
        return;
    }
    const auto now = boot_now();
    for (const auto& [upstream, age] : *message) {
        const auto* entry = find_entry(node, upstream);
        if (entry != nullptr && policy::record_down(node.cold, cold_settings(node, entry->service), upstream,
                                                    registered_cold_time(*entry), now - age)) {
            log_cold(node, upstream, "peer");
            // Members of other cells hear of it from those that have just heard.
            node.untold_down[upstream] = now - age;
        }
    }
}

std::map<std::string, int> count_restrictions(relay_state& node) {
    std::map<std::string, int> counts;
    for (auto reason :
         {policy::restriction::none, policy::restriction::draining, policy::restriction::evacuated,
          policy::restriction::leaving, policy::restriction::quiet, policy::restriction::cold_limit,
          policy::restriction::named_limit}) {
        counts[std::string(policy::to_string(reason))] = 0;
    }
    for (const auto& [id, record] : node.registry.upstreams) {
        ++counts[std::string(policy::to_string(restriction_now(node, record.entry, {}).reason))];
    }
    return counts;
}

} // namespace figspoke::relay
