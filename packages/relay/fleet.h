#pragma once

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>

#include "policy/named_limits.h"
#include "relay/heartbeat_filter.h"
#include "relay/heartbeat_message.h"
#include "relay/load_aggregators.h"
#include "state/fleet_layout.h"
#include "state/membership.h"

namespace figspoke::relay {

struct fleet_settings {
    std::string node_id;
    std::string failure_domain;
    std::string callers_address;
    /// `IP:port` for heartbeats; the port is the same on all nodes.
    std::string peers_address;
    std::vector<std::string> seed_addresses;
    /// Region of each failure domain.
    std::map<std::string, std::string> regions;
};

/// Callbacks of the fleet into the node.
struct fleet_hooks {
    /// Fills in the documents, uses, trials, crashes, roll-outs and conversations of this node's heartbeat.
    std::function<void(heartbeat_message&)> add_local_state;
    /// A peer's claim about a document, with the echo of this node's clock.
    std::function<void(document_kind, const state::document_claim&, const state::clock_echo&,
                       const state::member_entry& peer)>
        on_claim;
    /// Crash records of a peer.
    std::function<void(const std::vector<crash_record>&)> on_crashes;
    /// States of roll-outs as a peer reports them.
    std::function<void(const std::vector<rollout_record>&)> on_rollouts;
    /// Request counts of processes for roll-outs.
    std::function<void(const std::vector<trial_record>&)> on_trials;
    /// Conversations that ran at a peer.
    std::function<void(const std::vector<session_record>&)> on_sessions;
    /// The number of cells has changed to this value.
    std::function<void(std::size_t)> on_cells_changed;
    /// Called after each heartbeat of a peer, whose load may have decreased.
    std::function<void()> on_heartbeat;
    /// A message about the load of upstreams, and the address of its sender.
    std::function<void(std::string_view bytes, const std::string& from)> on_load_message;
    /// A message about the limits that upstreams have named.
    std::function<void(std::string_view bytes)> on_limit_message;
    /// A message about the paces of upstreams that have just started or recovered.
    std::function<void(std::string_view bytes)> on_pace_message;
};

/// Tracks the members of the fleet by their heartbeats. In a small fleet every node sends heartbeats to all
/// others; in a large one, to the members of its cell and over a few links to other cells. Heartbeats are
/// datagrams: the next one replaces a lost one, and there is no connection that can stall.
class fleet {
  public:
    fleet(boost::asio::io_context& context, fleet_settings settings, fleet_hooks hooks);

    /// Starts sending and receiving heartbeats.
    void start();

    /// Sends a heartbeat to all peers immediately, after a change that they need without delay.
    void announce();

    /// Sets the state of this node in subsequent heartbeats.
    void set_state(state::member_state value);
    state::member_state own_state() const;

    /// Distinguishes this process from earlier processes of the node.
    std::uint64_t incarnation() const;

    /// Adds addresses to contact, from the store's list of nodes.
    void add_seeds(const std::vector<std::string>& peers_addresses);

    /// Returns the addresses for callers of members that serve requests.
    std::vector<std::string> caller_addresses(const std::string& caller, std::size_t count,
                                              bool include_self) const;

    /// Returns the position of this node among the live members, ordered by id.
    std::size_t rank() const;

    /// Returns the number of live members, including this one, as of the last heartbeat that was sent.
    std::size_t size() const { return live_count_; }

    /// Returns the requests of all peers on an upstream, from their latest heartbeats.
    upstream_use peer_use(const std::string& upstream) const;

    /// Returns the load aggregator of an upstream. Nodes that know the same members choose the same one.
    aggregator_place aggregator_of(const std::string& upstream);

    /// Returns this node's place among the live members that send requests to upstreams, which include those
    /// that are stopping.
    const policy::sender_place& sender_place() const { return sender_place_; }

    /// Returns this node's place among all members that have not left, including those that were not heard of
    /// for some seconds: they may still send to upstreams on the other side of a partition.
    const policy::sender_place& steady_place() const { return steady_place_; }

    /// Sends bytes to the members of the cell and the linked members of others.
    void broadcast(const std::string& bytes);

    /// Sends bytes to a peer as one datagram.
    void send_bytes(const std::string& address, const std::string& bytes);

    /// Forwards updates to the linked members of other cells immediately. Does nothing in a fleet of one
    /// cell, where every node receives them from the source.
    void forward_updates();

    /// Returns the time in which an update from any member reaches all others; zero in a fleet of one cell.
    core::milliseconds propagation_time() const;

    /// The cell of this node and the number of cells.
    const state::fleet_layout& layout() const { return layout_; }

    void stop();

  private:
    /// What a heartbeat contains in addition to the state of this node.
    enum class heartbeat_scope {
        /// The load, for a member of the same cell. In a fleet of one cell also all other members.
        cell,
        /// The load and the other members in compact form.
        cell_and_compact_members,
        /// The other members in compact form, for another cell.
        link,
        /// Like `link`, but sent between two regular heartbeats and with new content only. Of the other
        /// members it holds those that don't serve.
        updates,
        /// All other members in full, for a node that this one has just learned of.
        introduction
    };
    struct target {
        std::string address;
        std::string id;
        heartbeat_scope scope = heartbeat_scope::cell;
    };

    struct peer {
        std::int64_t last_stamp = 0;
        core::steady_time stamp_at{};
        core::steady_time received_at{};
        std::uint64_t incarnation = 0;
        std::map<std::string, upstream_use> uses;
    };
    /// A process of a member. The record stays in place until the member is pruned, when its tags go too.
    struct tagged_member {
        state::member_record* record = nullptr;
        std::uint64_t incarnation = 0;
    };

    void send_loop(const boost::asio::yield_context& yield);
    void receive_loop(const boost::asio::yield_context& yield);
    void receive(const heartbeat_message& message);
    void record_peer(const heartbeat_message& message, core::steady_time now);
    void send_to(const target& to);
    void send_to(const std::vector<target>& all);
    void merge_member(const state::member_entry& entry, core::milliseconds silence, core::steady_time now);
    void update_layout(core::steady_time now);
    void remove_expired_members(core::steady_time now);
    void update_live_members(core::steady_time now);
    state::health_timeouts timeouts() const;
    std::vector<target> cell_targets() const;
    std::vector<target> link_targets(heartbeat_scope scope) const;
    std::vector<target> contact_targets() const;
    heartbeat_message make_heartbeat(const std::string& peer_id, heartbeat_scope scope) const;
    heartbeat_repetition repetition_in(heartbeat_scope scope) const;
    void add_members(heartbeat_message& message, const std::string& peer_id, bool all,
                     core::steady_time now) const;
    void add_compact_members(heartbeat_message& message, const std::string& peer_id, heartbeat_scope scope,
                             core::steady_time now) const;

    boost::asio::io_context& context_;
    fleet_settings settings_;
    fleet_hooks hooks_;
    boost::asio::ip::udp::socket socket_;
    state::membership members_;
    std::map<std::string, peer> peers_;
    std::set<std::string> seeds_;
    state::fleet_layout layout_;
    std::unordered_map<std::uint32_t, tagged_member> members_by_tag_;
    /// Ids of the live members, and the load aggregators chosen among them so far, by upstream.
    std::vector<std::string> live_ids_;
    policy::sender_place sender_place_;
    policy::sender_place steady_place_;
    std::size_t live_count_ = 1;
    std::unordered_map<std::string, std::string> aggregators_;
    /// The membership's stamp at each of the latest rounds, so that recently changed members are sent in
    /// full.
    std::deque<std::uint64_t> recent_stamps_;
    std::uint64_t rounds_ = 0;
};

/// Times since the last heartbeat after which a member of a fleet of one cell is suspect, failed and removed.
/// Four heartbeats are sent within the first.
extern const state::health_timeouts fleet_timeouts;

} // namespace figspoke::relay
