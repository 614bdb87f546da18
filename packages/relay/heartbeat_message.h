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
#include "policy/session_pins.h"
#include "policy/trial_evidence.h"
#include "policy/upstream_use.h"
#include "relay/crash_record.h"
#include "relay/rollout_state.h"
#include "state/membership.h"
#include "state/shared_document.h"

namespace figspoke::relay {

/// The documents that all nodes keep a copy of.
enum class document_kind : std::uint8_t { operator_config, registry };
inline constexpr std::size_t document_count = 2;

/// Time between the heartbeats to a node of the same cell.
inline constexpr core::milliseconds heartbeat_interval{250};

using policy::add_use;
using policy::upstream_use;

/// A recent conversation.
struct session_record {
    policy::session_key session = 0;
    core::milliseconds age{0};
};

/// The state of a roll-out as a node reports it.
struct rollout_record {
    std::string service;
    /// Packed position of the operator's order.
    std::uint64_t order = 0;
    rollout_state state = rollout_state::in_progress;
    bool stopped = false;
    /// Whether the store holds a status for the order.
    bool written = false;
    core::milliseconds elapsed{0};
};

/// A process's request counts for a roll-out, as relayed in heartbeats.
struct trial_record {
    std::string service;
    /// Packed position of the operator's order.
    std::uint64_t order = 0;
    policy::trial_report report;
    core::milliseconds age{0};
};

/// The full entry of another member and the time since its last heartbeat.
struct relayed_member {
    state::member_entry entry;
    core::milliseconds silence{0};
};

/// The compact form of a relayed member, for large fleets.
struct compact_member {
    /// Hash of the member's id and incarnation.
    std::uint32_t tag = 0;
    std::uint64_t heartbeat = 0;
    state::member_state state = state::member_state::joining;
    core::milliseconds silence{0};
};

/// Returns the hash that identifies a member in its compact form.
std::uint32_t member_tag(const std::string& id, std::uint64_t incarnation);

/// The message that nodes send each other several times a second.
struct heartbeat_message {
    state::member_entry sender;
    /// Time of sending by the sender's clock, in microseconds. Only the sender can interpret it.
    std::int64_t stamp = 0;
    /// The last stamp that the sender received from the receiver, and the time since it arrived.
    std::optional<std::int64_t> echoed_stamp;
    std::chrono::microseconds echo_held{0};
    std::array<state::document_claim, document_count> documents;
    std::map<std::string, upstream_use> uses;
    std::vector<trial_record> trials;
    std::vector<crash_record> crashes;
    std::vector<rollout_record> rollouts;
    std::vector<session_record> sessions;
    std::vector<relayed_member> members;
    std::vector<compact_member> compact_members;
};

/// Encodes a heartbeat message in a binary format without names.
std::string encode_heartbeat(const heartbeat_message& message);

/// Decodes a heartbeat message; empty if the bytes are not a valid one.
std::optional<heartbeat_message> decode_heartbeat(std::string_view bytes);

} // namespace figspoke::relay
