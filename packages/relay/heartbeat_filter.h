#pragma once

#include "core/time.h"
#include "relay/heartbeat_message.h"

namespace figspoke::relay {

/// Selects the known content that a heartbeat in a large fleet repeats.
struct heartbeat_repetition {
    /// Reports of other processes on roll-outs.
    bool other_reports = false;
    /// Records of crashes and conversations older than `max_new_record_age`.
    bool old_records = false;
};

/// Age up to which every heartbeat contains a crash or a conversation: two heartbeats within a cell.
inline constexpr core::milliseconds max_new_record_age{700};

/// Removes known content that need not be repeated from a heartbeat. Fingerprints with several crashes are
/// kept, because one more crash can cause a refusal.
void filter_heartbeat(heartbeat_message& message, const heartbeat_repetition& repeated);

} // namespace figspoke::relay
