#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/time.h"

namespace figspoke::policy {

/// Where a conversation ran last.
struct session_pin {
    bool on_target = false;
    core::steady_time seen{};
};

/// Conversations that were seen lately, by hash of service and conversation. Only those that a trial would
/// move are kept, so the table stays small and fits into the beats between nodes.
struct session_pins {
    std::map<std::uint64_t, session_pin> pins;
};

inline constexpr std::size_t max_session_pins = 4000;

/// Notes that a request of the conversation ran; the latest note counts.
void note_session(session_pins& pins, std::uint64_t session, bool on_target, core::steady_time at);

/// Forgets conversations that are over.
void expire_sessions(session_pins& pins, core::milliseconds session_gap, core::steady_time now);

/// Places a conversation in [0, 1): it takes part in a roll-out while its place is below the share.
double session_place(std::uint64_t session);

/// The question whether a request goes to the version under roll-out.
struct rollout_side {
    double place = 0;
    /// Share of requests for the target version.
    double share = 0;
    /// During the trial a conversation that began on the old version stays there.
    bool trial = true;
    /// A conversation is over after this pause.
    core::milliseconds session_gap{5000};
};

/// Tells whether a request of the conversation goes to the target version.
bool takes_target(const session_pins& pins, std::uint64_t session, const rollout_side& side,
                  core::steady_time now);

} // namespace figspoke::policy
