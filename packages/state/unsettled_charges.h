#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "state/charge.h"

namespace figspoke::state {

/// Limits on the charges that a node keeps until their shard has recorded them.
struct unsettled_limits {
    std::size_t max_charges = 10'000;
    std::size_t max_bytes = std::size_t{5} * 1024 * 1024;
    /// Time after which a charge that was sent and not settled is sent again.
    std::chrono::milliseconds resend_after{1000};
};

/// A charge that is not known to be recorded.
struct unsettled_charge {
    charge value;
    /// Memory that the charge uses.
    std::size_t bytes = 0;
    bool sent = false;
    core::steady_time sent_at;
};

/// The charges of one serving node that are not known to be recorded.
struct unsettled_charges {
    /// This node's incarnation, which is the writer of its charges.
    std::string writer;
    unsettled_limits limits;
    /// The last assigned sequence number of each shard.
    std::map<std::uint32_t, std::uint64_t> last_sequence;
    /// The unsettled charges of each shard, ordered by sequence number.
    std::map<std::uint32_t, std::deque<unsettled_charge>> shards;
    /// Number and size of the unsettled charges, and number of running requests with a reservation.
    std::size_t charges = 0;
    std::size_t bytes = 0;
    std::size_t reserved = 0;
};

/// Reserves room for the charge of a request before the request runs; fails with `unsettled_limit` if there
/// is none. A request that has run must be charged, so `add_charge` itself never fails.
core::result<void> reserve_charge(unsettled_charges& unsettled);

/// Releases the reservation of a request that will not be charged.
void release_reservation(unsettled_charges& unsettled);

/// Adds a charge in place of its reservation, assigns its writer and sequence number, and returns the charge
/// so that a copy can be sent to a peer.
charge add_charge(unsettled_charges& unsettled, std::uint32_t shard, charge value);

/// Returns up to `max` charges of the shard that are due to be sent, oldest first, and marks them as sent.
std::vector<charge> charges_to_send(unsettled_charges& unsettled, std::uint32_t shard, std::size_t max,
                                    core::steady_time now);

/// Makes all charges of the shard due immediately, for example when its owner has changed.
void resend_charges(unsettled_charges& unsettled, std::uint32_t shard);

/// Removes a charge that the shard has recorded (outcome `applied` or `duplicate`).
void settle_charge(unsettled_charges& unsettled, std::uint32_t shard, std::uint64_t sequence);

} // namespace figspoke::state
