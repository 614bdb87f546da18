#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "adapters/mesh.h"
#include "core/time.h"
#include "state/gossip_plan.h"
#include "state/member_digest.h"
#include "state/membership.h"
#include "state/pause_detector.h"
#include "state/roster.h"
#include "state/table_freshness.h"

namespace figspoke::node {

/// A standing link of the mesh with its digest state.
struct cluster_link {
    std::string peer;
    state::digest_link digest;
};

/// What this node knows of the other nodes.
struct cluster {
    mutable std::mutex mutex;
    state::membership known;
    std::map<std::uint64_t, cluster_link> links;
    state::roster roster;
    std::string roster_text;
    state::table_freshness freshness;
    /// Set when a peer tells of a later era than that of the table that this node read itself.
    bool read_wanted = false;
    state::removed_vm_ids gone;
    state::gossip_plan plan;
    state::pause_detector pauses;
    core::steady_time last_beat;
    /// The serving members as of `serving_at`, shared by all who ask within a short time.
    mutable std::shared_ptr<const std::vector<state::member_entry>> serving;
    mutable core::steady_time serving_at;
    core::steady_time started;
    std::unique_ptr<adapters::mesh> mesh;
};

/// A message for one peer, to be sent after the cluster's lock is released.
struct outgoing_message {
    std::string peer;
    adapters::mesh_message message;
};

/// Decides whether this node may take new work.
state::service_decision decide_service(const cluster& nodes, core::steady_time now);

/// Returns the members that are alive and serve, by id; the list is at most 50 ms old.
std::shared_ptr<const std::vector<state::member_entry>> serving_members(const cluster& nodes,
                                                                        core::steady_time now);

/// Tells whether the incarnation (`node id/run`) of a node has ended, as far as this node knows.
bool is_incarnation_gone(const cluster& nodes, std::string_view incarnation, core::steady_time now);

/// Returns the addresses for `/v1/entry`, best first.
std::vector<std::string> entry_addresses(const cluster& nodes, const std::string& caller, std::size_t count,
                                         core::steady_time now);

/// How far an edit of the configuration has spread.
struct edit_progress {
    bool accepted = false;
    std::vector<std::string> confirmed;
    std::vector<std::string> waiting_for;
};

/// Tells which members have put a packed table position in force. `stored_at` is when this node first heard
/// of the question.
edit_progress edit_progress_of(const cluster& nodes, std::uint64_t revision, core::steady_time stored_at,
                               core::steady_time now);

/// Builds a digest for each link, and raises the heartbeat where it is due.
std::vector<outgoing_message> build_digests(cluster& nodes, core::steady_time now);

/// Merges a digest; returns the messages that ask the peer for what it has and this node lacks.
std::vector<outgoing_message> handle_digest(cluster& nodes, const adapters::mesh_delivery& delivery,
                                            core::steady_time now);

/// Adds or removes a link.
void handle_link(cluster& nodes, const adapters::mesh_link_event& event);

/// Takes over a roster where its version is higher; returns whether it was.
bool apply_roster(cluster& nodes, const std::string& text);

/// Returns the peers to which standing links are wanted.
std::vector<adapters::mesh_peer> wanted_links(const cluster& nodes, const std::vector<std::string>& seeds,
                                              core::steady_time now);

} // namespace figspoke::node
