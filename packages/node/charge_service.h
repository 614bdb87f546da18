#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "adapters/mesh.h"
#include "core/error.h"
#include "core/time.h"
#include "state/charge.h"
#include "state/charge_copies.h"
#include "state/unsettled_charges.h"

namespace figspoke::node {

struct node_state;

/// Recorded charges of this node, by shard and sequence, whose copies one peer may drop.
struct copy_drops {
    adapters::mesh_peer peer;
    std::vector<std::pair<std::uint32_t, std::uint64_t>> recorded;
};

/// The charges that this node holds until their shard has recorded them, and its copies of other nodes'.
struct charge_service {
    std::mutex mutex;
    state::unsettled_charges held;
    state::charge_copies copies;
    /// When copies of ended nodes are sent to their shards again.
    core::steady_time copies_due;
    /// The peer that keeps the copy of each held charge, by shard and sequence.
    std::map<std::pair<std::uint32_t, std::uint64_t>, adapters::mesh_peer> copy_holders;
    /// Shards and sequences of recorded charges whose copies may be dropped, by peer id.
    std::map<std::string, copy_drops> drops;
};

/// Room for the charge of a request that is about to run; given back at the end of its scope unless used.
class charge_reservation {
  public:
    explicit charge_reservation(charge_service& charges) : charges_(&charges) {}
    ~charge_reservation();
    charge_reservation(charge_reservation&& other) noexcept;
    charge_reservation& operator=(charge_reservation&&) = delete;

    /// Marks the reservation as taken over by a charge.
    void use() { charges_ = nullptr; }

  private:
    charge_service* charges_;
};

/// Reserves room for a charge; fails with `unsettled_limit`, and the request must not run then.
core::result<charge_reservation> reserve_charge(charge_service& charges);

/// Holds a charge and copies it to a peer in another failure domain. Returns once the peer has the copy or
/// could not be reached in time. Call it before the last byte of the answer.
void book_charge(node_state& node, charge_reservation reservation, state::charge value,
                 const boost::asio::yield_context& yield);

/// Keeps a copy that a peer sent (an encoded `charge_copy`); returns whether there was room.
bool keep_charge_copy(node_state& node, const std::string& body);

/// Drops the copies that a peer names as recorded.
void drop_charge_copies(node_state& node, const std::string& body);

/// Sends held charges, and copies of nodes that have ended, to their shards. Call it every 50 ms.
void send_due_charges(node_state& node);

} // namespace figspoke::node
