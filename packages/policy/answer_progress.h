#pragma once

#include <cstddef>

#include "core/time.h"

namespace figspoke::policy {

/// What bounds the time in which the body of a plain answer arrives.
struct body_limits {
    /// When the head of the answer was read.
    core::steady_time begun_at{};
    /// When the caller stops waiting.
    core::steady_time deadline{};
    /// Maximum time without a byte.
    core::milliseconds stall_timeout{0};
    /// Whether the request may run on another upstream, so that a slow body is worth giving up.
    bool may_move = false;
};

/// Returns how long to wait for the next bytes of a body of which `received` bytes have arrived; zero where
/// the body is given up. Answers the load of upstreams that send a byte now and then, or bytes without end.
core::milliseconds body_wait(const body_limits& limits, std::size_t received, core::steady_time now);

/// What bounds the pauses of a stream that another upstream could continue.
struct stream_progress {
    /// Whether a whole event has arrived.
    bool begun = false;
    /// Time until the caller stops waiting.
    core::milliseconds time_left{0};
    core::milliseconds latency_target{0};
    /// Expected time until the first event, for a stream that hasn't begun.
    core::milliseconds expected{0};
};

/// Times since the last whole event after which a stream moves to another upstream.
struct stream_pauses {
    /// If the upstream sends no byte on any stream and accepts no connection.
    core::milliseconds silent_upstream{0};
    /// In any case.
    core::milliseconds longest{0};
};

/// Returns the pauses that a stream is allowed. Answers the load of streams that stall, which must move while
/// enough time is left to finish them elsewhere, beside streams of busy upstreams, which must not.
stream_pauses allowed_pauses(const stream_progress& stream);

} // namespace figspoke::policy
