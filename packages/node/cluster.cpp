#include "node/cluster.h"

#include <algorithm>

#include "state/entry_choice.h"
#include "state/link_choice.h"

namespace figspoke::node {
namespace {

// A node that has just started has not heard of all others: it judges no incarnation as ended yet.
constexpr std::chrono::seconds settling_time{10};
// Copying 380 members for each request would cost more than routing it.
constexpr std::chrono::milliseconds serving_list_age{50};

state::majority_view view_of(const cluster& nodes, core::steady_time now) {
    return {nodes.known, nodes.roster, nodes.gone, nodes.plan.timeouts,
            state::observations_valid_since(nodes.pauses, now)};
}

std::string run_of(const state::member_entry& entry) {
    const auto found = entry.payload.find("run");
    return entry.id + "/" + (found == entry.payload.end() ? "" : found->second);
}

} // namespace

state::service_decision decide_service(const cluster& nodes, core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    return state::decide_service(nodes.freshness, view_of(nodes, now), now);
}

std::shared_ptr<const std::vector<state::member_entry>> serving_members(const cluster& nodes,
                                                                        core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    if (nodes.serving && now - nodes.serving_at < serving_list_age) {
        return nodes.serving;
    }
    auto members = std::make_shared<std::vector<state::member_entry>>();
    for (const auto* member : state::serving_members(nodes.known, nodes.plan.timeouts, now)) {
        members->push_back(*member);
    }
    nodes.serving = members;
    nodes.serving_at = now;
    return nodes.serving;
}

bool is_incarnation_gone(const cluster& nodes, std::string_view incarnation, core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    const std::string id(incarnation.substr(0, incarnation.find('/')));
    const auto found = nodes.known.members.find(id);
    if (found == nodes.known.members.end()) {
        return now - nodes.started > settling_time;
    }
    const auto& member = found->second;
    if (run_of(member.entry) != incarnation) {
        return true;
    }
    return member.entry.state == state::member_state::left ||
           state::health_of(nodes.known, member, nodes.plan.timeouts, now) == state::member_health::failed;
}

std::vector<std::string> entry_addresses(const cluster& nodes, const std::string& caller, std::size_t count,
                                         core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    return state::choose_entry_addresses(state::serving_members(nodes.known, nodes.plan.timeouts, now),
                                         caller, count);
}

// A node that has just started may not have heard of the others, and the first one knows no recorded voters.
// It waits as long for nodes that it doesn't know as for members that are silent.
edit_progress edit_progress_of(const cluster& nodes, std::uint64_t revision, core::steady_time stored_at,
                               core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    edit_progress progress;
    progress.accepted = now - nodes.started > state::unreachable_timeout &&
                        state::is_edit_accepted(revision, stored_at, view_of(nodes, now), now);
    for (const auto& [id, member] : nodes.known.members) {
        if (member.entry.state == state::member_state::left) {
            continue;
        }
        const bool confirmed = member.entry.table_revision >= revision;
        (confirmed ? progress.confirmed : progress.waiting_for).push_back(id);
    }
    return progress;
}

std::vector<outgoing_message> build_digests(cluster& nodes, core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    if (now - nodes.last_beat >= nodes.plan.heartbeat_period) {
        state::advance_heartbeat(nodes.known, now);
        nodes.last_beat = now;
    }
    state::prune(nodes.known, nodes.plan.timeouts, now);
    nodes.plan = state::plan_gossip(nodes.known.members.size(), nodes.links.size());
    std::vector<outgoing_message> messages;
    for (auto& [id, link] : nodes.links) {
        auto digest =
            state::build_digest(link.digest, nodes.known, nodes.freshness, nodes.plan.timeouts, now);
        messages.push_back({link.peer, adapters::digest_message{std::move(digest)}});
    }
    return messages;
}

std::vector<outgoing_message> handle_digest(cluster& nodes, const adapters::mesh_delivery& delivery,
                                            core::steady_time now) {
    const auto* message = std::get_if<adapters::digest_message>(&delivery.message);
    const std::lock_guard lock(nodes.mutex);
    const auto found = nodes.links.find(delivery.link);
    if (message == nullptr || found == nodes.links.end()) {
        return {};
    }
    const auto news =
        state::receive_digest(found->second.digest, message->digest, nodes.known, nodes.freshness, now);
    std::vector<outgoing_message> requests;
    if (news && state::prefers_own_read(nodes.freshness, message->digest.table_revision, now)) {
        nodes.read_wanted = true;
    } else if (news && news->peer_has_newer_table) {
        requests.push_back({delivery.from, adapters::table_get_message{nodes.freshness.revision}});
    }
    if (news && news->peer_has_newer_roster) {
        requests.push_back({delivery.from, adapters::roster_get_message{nodes.roster.version}});
    }
    return requests;
}

void handle_link(cluster& nodes, const adapters::mesh_link_event& event) {
    const std::lock_guard lock(nodes.mutex);
    if (!event.up) {
        nodes.links.erase(event.link);
    } else if (event.standing) {
        nodes.links.insert_or_assign(event.link, cluster_link{event.peer, {}});
    }
}

bool apply_roster(cluster& nodes, const std::string& text) {
    const auto decoded = state::decode_roster(text);
    const std::lock_guard lock(nodes.mutex);
    if (!decoded || decoded->version <= nodes.roster.version) {
        return false;
    }
    nodes.roster = *decoded;
    nodes.roster_text = text;
    return true;
}

std::vector<adapters::mesh_peer> wanted_links(const cluster& nodes, const std::vector<std::string>& seeds,
                                              core::steady_time now) {
    const std::lock_guard lock(nodes.mutex);
    std::vector<adapters::mesh_peer> peers;
    std::set<std::string> addresses;
    for (const auto& id : state::choose_links(nodes.known, nodes.plan.timeouts, now)) {
        const auto& address = nodes.known.members.at(id).entry.mesh_address;
        peers.push_back({id, address});
        addresses.insert(address);
    }
    const auto probe = state::choose_probe_target(nodes.known, nodes.plan.timeouts, now);
    if (!probe.empty()) {
        peers.push_back({probe, nodes.known.members.at(probe).entry.mesh_address});
    }
    // Without other members the seeds are the only way in. They stay wanted while few members are known, so
    // that two halves that started apart find each other.
    if (peers.size() < state::dialled_link_count) {
        for (const auto& seed : seeds) {
            const auto& own = state::self_entry(nodes.known).mesh_address;
            if (seed != own && addresses.count(seed) == 0) {
                peers.push_back({"", seed});
            }
        }
    }
    return peers;
}

} // namespace figspoke::node
