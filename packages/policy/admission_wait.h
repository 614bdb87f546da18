#pragma once

#include "policy/admission_queue.h"

namespace figspoke::policy {

/// Returns the wait that a request must expect, from the work queued ahead of it and the measured service
/// rate.
std::chrono::nanoseconds expected_wait(const admission_queue& queue, const admission_request& request);

/// Returns the last time at which a request can start and still be served in time, where `run_margin` times
/// its expected run time is left before the deadline.
core::steady_time latest_start(const admission_queue& queue, const admission_request& request,
                               core::steady_time now, double run_margin);

} // namespace figspoke::policy
