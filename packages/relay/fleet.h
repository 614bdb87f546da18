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

#include "relay/beat.h"
#include "relay/beat_news.h"
#include "relay/load_keepers.h"
#include "state/fleet_layout.h"
#include "state/membership.h"

namespace figspoke::relay {

struct fleet_settings {
    std::string node_id;
    std::string failure_domain;
    std::string callers_address;
    /// `IP:port` of the beats; the port is the same on all nodes.
    std::string peers_address;
    std::vector<std::string> seed_addresses;
};

/// What the fleet asks of the node, and reports to it.
struct fleet_hooks {
    /// Fills in documents, uses, trials, crashes, roll-outs and conversations of this node's beat.
    std::function<void(beat&)> describe;
    /// A peer's claim about a document, with the echo of this node's clock.
    std::function<void(document_kind, const state::document_claim&, const state::clock_echo&,
                       const state::member_entry& peer)>
        on_claim;
    /// Crash marks of a peer.
    std::function<void(const std::vector<crash_mark>&)> on_crashes;
    /// What a peer knows of roll-outs.
    std::function<void(const std::vector<rollout_mark>&)> on_rollouts;
    /// What processes saw of roll-outs.
    std::function<void(const std::vector<trial_mark>&)> on_trials;
    /// Conversations that ran at a peer.
    std::function<void(const std::vector<session_mark>&)> on_sessions;
    /// The fleet was divided anew, into this many cells.
    std::function<void(std::size_t)> on_cells;
    /// After each beat of a peer: its load may have made room.
    std::function<void()> on_beat;
    /// A message about the load of upstreams, with the address of its sender.
    std::function<void(std::string_view bytes, const std::string& from)> on_load;
};

/// Members and what their beats say. All nodes of a small fleet beat to each other; in a large one each beats
/// to the members of its cell and over a few links to other cells. Beats are datagrams: a lost one is made up
/// for by the next, and a silent connection can't occur.
class fleet {
  public:
    fleet(boost::asio::io_context& context, fleet_settings settings, fleet_hooks hooks);

    /// Begins to send and to receive beats.
    void start();

    /// Sends a beat to all peers now: something changed that they should know at once.
    void announce();

    /// Changes this node's state in the next beats.
    void set_state(state::member_state value);
    state::member_state own_state() const;

    /// Tells apart this process from earlier ones of the node.
    std::uint64_t incarnation() const;

    /// Adds addresses to greet, from the store's list of nodes.
    void add_seeds(const std::vector<std::string>& peers_addresses);

    /// Addresses for callers of the members that serve.
    std::vector<std::string> caller_addresses(const std::string& caller, std::size_t count,
                                              bool include_self) const;

    /// Position of this node among the live members, by id.
    std::size_t rank() const;

    /// Live members, this one included.
    std::size_t size() const;

    /// Requests of the peers on an upstream, by their latest beats.
    upstream_use peer_use(const std::string& upstream) const;

    /// Where the keeper of an upstream is. Nodes that know the same members agree.
    keeper_place keeper_of(const std::string& upstream);

    /// Sends bytes to a peer as one datagram.
    void send_bytes(const std::string& address, const std::string& bytes);

    /// Passes news on to the linked members of other cells now. Nothing in a fleet of one cell, where
    /// everybody hears the source.
    void forward_news();

    /// Time in which news from any member reach all others; zero in a fleet of one cell.
    core::milliseconds spread_time() const;

    /// The cell of this node and the number of cells.
    const state::fleet_layout& layout() const { return layout_; }

    void stop();

  private:
    /// What a beat tells beside what this node knows of itself.
    enum class beat_scope {
        /// Load, to a member of the own cell. Also all other members in a fleet of one cell.
        cell,
        /// Load, and the other members in short.
        cell_and_pulses,
        /// The other members in short, to another cell.
        link,
        /// The same between two regular beats: what is new only.
        news,
        /// All other members in full, to a node that is new here.
        introduction
    };
    struct target {
        std::string address;
        std::string id;
        beat_scope scope = beat_scope::cell;
    };

    struct peer {
        std::int64_t last_stamp = 0;
        core::steady_time stamp_at{};
        core::steady_time heard_at{};
        std::uint64_t incarnation = 0;
        std::map<std::string, upstream_use> uses;
    };
    struct tagged_member {
        std::string id;
        std::uint64_t incarnation = 0;
    };

    void send_loop(const boost::asio::yield_context& yield);
    void receive_loop(const boost::asio::yield_context& yield);
    void receive(const beat& message);
    void note_peer(const beat& message, core::steady_time now);
    void send_to(const target& to);
    void send_to(const std::vector<target>& all);
    void merge_member(const state::member_entry& entry, core::milliseconds silence, core::steady_time now);
    void plan(core::steady_time now);
    void prune(core::steady_time now);
    void note_live_members(core::steady_time now);
    state::health_timeouts timeouts() const;
    std::vector<target> cell_targets() const;
    std::vector<target> link_targets(beat_scope scope) const;
    std::vector<target> greet_targets() const;
    beat make_beat(const std::string& peer_id, beat_scope scope) const;
    beat_repetition repetition_in(beat_scope scope) const;
    void add_members(beat& message, const std::string& peer_id, bool all, core::steady_time now) const;
    void add_pulses(beat& message, const std::string& peer_id, core::steady_time now) const;

    boost::asio::io_context& context_;
    fleet_settings settings_;
    fleet_hooks hooks_;
    boost::asio::ip::udp::socket socket_;
    state::membership members_;
    std::map<std::string, peer> peers_;
    std::set<std::string> seeds_;
    state::fleet_layout layout_;
    std::unordered_map<std::uint32_t, tagged_member> tags_;
    /// Live members by id, and the keepers chosen among them so far.
    std::vector<std::string> live_;
    std::unordered_map<std::string, std::string> keepers_;
    /// The membership's stamp at each of the latest rounds, so that recent changes are told in full.
    std::deque<std::uint64_t> stamps_;
    std::uint64_t rounds_ = 0;
};

/// Times since the last beat after which a member is suspected, failed and forgotten in a fleet of one cell.
/// Four beats are sent within the first.
extern const state::health_timeouts fleet_timeouts;

} // namespace figspoke::relay
