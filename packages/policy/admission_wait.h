#pragma once

#include "policy/admission_queue.h"

namespace figspoke::policy {

/// Returns the expected wait of a request, from the work queued ahead of it and the measured service rate.
std::chrono::nanoseconds expected_wait(const admission_queue& queue, const admission_request& request);

/// Returns the latest time at which a request may start: within the longest wait of its priority, and with
/// `run_margin` times its expected run time left before the deadline.
core::steady_time latest_start(const admission_queue& queue, const admission_request& request,
                               core::steady_time now, double run_margin);

} // namespace figspoke::policy
