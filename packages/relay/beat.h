#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/time.h"
#include "policy/trial_evidence.h"
#include "policy/upstream_use.h"
#include "relay/rollout_state.h"
#include "state/membership.h"
#include "state/shared_document.h"

namespace figspoke::relay {

/// The documents that nodes share.
enum class document_kind : std::uint8_t { operator_config, registry };
inline constexpr std::size_t document_count = 2;

using policy::add_use;
using policy::upstream_use;

/// A request of this fingerprint was running on an upstream that crashed; or, where the upstream is empty,
/// one has succeeded since, which clears it of earlier crashes.
struct crash_mark {
    std::uint64_t fingerprint = 0;
    std::string upstream;
    core::milliseconds age{0};
};

/// A conversation that ran lately.
struct session_mark {
    std::uint64_t session = 0;
    bool on_target = false;
    core::milliseconds age{0};
};

/// What a node knows of a roll-out.
struct rollout_mark {
    std::string service;
    /// Revision of the operator's order.
    std::uint64_t order = 0;
    rollout_state state = rollout_state::in_progress;
    bool stopped = false;
    /// Whether the store holds a status for the order.
    bool written = false;
    core::milliseconds elapsed{0};
};

/// What a process saw of a roll-out, as a beat relays it.
struct trial_mark {
    std::string service;
    /// Revision of the operator's order.
    std::uint64_t order = 0;
    policy::trial_report report;
    core::milliseconds age{0};
};

/// A member as a beat relays it.
struct relayed_member {
    state::member_entry entry;
    core::milliseconds silence{0};
};

/// The short form of a relayed member, for large fleets.
struct relayed_pulse {
    /// Hash of the member's id and incarnation.
    std::uint32_t tag = 0;
    std::uint64_t heartbeat = 0;
    state::member_state state = state::member_state::joining;
    core::milliseconds silence{0};
};

/// Returns the tag of a member in pulses.
std::uint32_t pulse_tag(const std::string& id, std::uint64_t incarnation);

/// What nodes send each other several times a second.
struct beat {
    state::member_entry sender;
    /// Clock of the sender, in microseconds; meaningful to the sender only.
    std::int64_t stamp = 0;
    /// The receiver's last stamp that arrived at the sender, and how long ago.
    std::optional<std::int64_t> echoed_stamp;
    std::chrono::microseconds echo_held{0};
    std::array<state::document_claim, document_count> documents;
    std::map<std::string, upstream_use> uses;
    std::vector<trial_mark> trials;
    std::vector<crash_mark> crashes;
    std::vector<rollout_mark> rollouts;
    std::vector<session_mark> sessions;
    std::vector<relayed_member> members;
    std::vector<relayed_pulse> pulses;
};

/// Renders a beat as CBOR.
std::string encode_beat(const beat& message);

/// Parses a beat; empty where the bytes aren't one.
std::optional<beat> decode_beat(std::string_view bytes);

} // namespace figspoke::relay
