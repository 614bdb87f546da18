#pragma once

#include <cstddef>

#include "core/time.h"

namespace figspoke::state {

/// What a node knows about the ways in which nodes find each other.
struct discovery_state {
    core::milliseconds since_start{0};
    /// Number of live members, this node included.
    std::size_t live_members = 1;
    /// Position of this node among the live members.
    std::size_t rank = 0;
    /// Whether this process has written its address to the store, and the store has not come back from an
    /// older copy since.
    bool registered = false;
    /// Time since this process last read the addresses, or since its start.
    core::milliseconds since_read{0};
};

/// What a node does next to find others and to be found.
enum class discovery_step { none, write_address, read_and_write_addresses };

struct discovery_settings {
    /// Time after the start in which seeds and peers answer.
    core::milliseconds settling_time{1500};
    /// Number of nodes whose addresses the store holds.
    std::size_t registered_members = 3;
    /// Time after which the first member of a fleet reads the addresses again, so that two fleets that formed
    /// apart find each other.
    core::milliseconds reread_interval{15000};
};

/// Returns the next step. Nodes find each other through seeds; the list of addresses in the store is for the
/// case that no seed runs. So only a node without peers reads it, and only a few nodes write their address,
/// so that the calls to the store don't grow with the fleet when all of it starts.
discovery_step next_discovery_step(const discovery_state& state, const discovery_settings& settings);

} // namespace figspoke::state
