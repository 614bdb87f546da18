#pragma once

#include "core/time.h"
#include "relay/beat.h"

namespace figspoke::relay {

/// What a beat of a large fleet repeats of things that were told before.
struct beat_repetition {
    /// Reports of other processes about roll-outs.
    bool other_reports = false;
    /// Crashes and conversations that are no longer new.
    bool old_marks = false;
};

/// Age up to which a crash or a conversation is told in every beat: two of them within a cell.
inline constexpr core::milliseconds new_mark{700};

/// Leaves out of a beat what need not be repeated in it. Fingerprints with several crashes stay: their next
/// one decides.
void keep_news(beat& message, const beat_repetition& repeated);

} // namespace figspoke::relay
