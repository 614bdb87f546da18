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

/// Bounds on the charges that a node holds until their shard has recorded them.
struct unsettled_limits {
    std::size_t max_charges = 10'000;
    std::size_t max_bytes = std::size_t{5} * 1024 * 1024;
    /// A charge that was sent this long ago without an answer is sent again.
    std::chrono::milliseconds resend_after{1000};
};

/// A charge that waits for its shard.
struct unsettled_charge {
    charge value;
    std::size_t bytes = 0;
    bool sent = false;
    core::steady_time sent_at;
};

/// The charges of one serving node that are not known to be recorded.
struct unsettled_charges {
    /// This node's incarnation; the writer of its charges.
    std::string writer;
    unsettled_limits limits;
    /// The next sequence and the waiting charges of each shard, in sequence.
    std::map<std::uint32_t, std::uint64_t> next_sequence;
    std::map<std::uint32_t, std::deque<unsettled_charge>> shards;
    /// Charges and bytes held, and room reserved for requests that are running.
    std::size_t charges = 0;
    std::size_t bytes = 0;
    std::size_t reserved = 0;
};

/// Reserves room for the charge of a request before it runs; fails with `unsettled_limit`. The work of a
/// request that has run must be charged, so `add_charge` itself never refuses.
core::result<void> reserve_charge(unsettled_charges& held);

/// Gives back the room of a request that will not be charged.
void release_reservation(unsettled_charges& held);

/// Takes over the reservation, assigns writer and sequence, and returns the charge for the copy to a peer.
charge add_charge(unsettled_charges& held, std::uint32_t shard, charge value);

/// Returns up to `max` charges of the shard that are due to be sent, oldest first, and notes them as sent.
std::vector<charge> charges_to_send(unsettled_charges& held, std::uint32_t shard, std::size_t max,
                                    core::steady_time now);

/// Makes all charges of the shard due at once, for example when its owner has changed.
void resend_charges(unsettled_charges& held, std::uint32_t shard);

/// Removes a charge that the shard has recorded (`applied` or `duplicate`).
void settle_charge(unsettled_charges& held, std::uint32_t shard, std::uint64_t sequence);

} // namespace figspoke::state
