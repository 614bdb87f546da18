#pragma once

#include <string_view>

#include "core/time.h"
#include "policy/answer_progress.h"

namespace figspoke::policy {

/// What a node knows of a send that makes no progress.
struct silent_send {
    /// Time since the last progress.
    core::milliseconds silence{0};
    stream_pauses pauses;
    /// Whether the upstream has sent no byte to any node lately and accepts no connection.
    bool upstream_unreachable = false;
    /// Whether bytes have arrived that this node has not read yet.
    bool unread_bytes = false;
};

/// Returns whether the send has stalled, so that another upstream may take its request over.
bool is_stalled(const silent_send& send);

/// What decides whether a stalled send is given up for another upstream.
struct move_conditions {
    /// Whether the send still makes no progress.
    bool stalled = true;
    /// Whether attempts remain and a further send may follow the part of the answer that the caller has.
    bool repeatable = true;
    /// Whether the present configuration still leads the request to the same service.
    bool admitted = true;
    /// Whether the request was found to crash upstreams.
    bool crashes_upstreams = false;
    /// Whether the repeat budget allows another send.
    bool within_budget = true;
    /// Whether another upstream has a place for the request.
    bool has_upstream = true;
    /// Time until the caller stops waiting, and until the first byte is expected from the other upstream.
    core::milliseconds time_left{0};
    core::milliseconds expected{0};
};

/// Whether a stalled send is given up, or why not.
enum class move_verdict {
    move,
    recovered,
    not_repeatable,
    not_admitted,
    crashes_upstreams,
    too_late,
    out_of_budget,
    no_upstream
};

/// Decides whether a stalled send is given up. Its upstream may still be at work, so that the send goes on
/// until its deadline unless a continuation is certain to be allowed and has a place to go.
move_verdict judge_move(const move_conditions& conditions);

/// Returns the name of a value in logs and metrics.
std::string_view to_string(move_verdict value);

} // namespace figspoke::policy
