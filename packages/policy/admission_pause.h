#pragma once

#include <optional>

#include "policy/admission_queue.h"

namespace figspoke::policy {

/// Returns the id of the running request to pause so that a request of `priority` can start whose account is
/// within its fair share; empty if no request may be paused.
std::optional<std::uint64_t> find_request_to_pause(const admission_queue& queue, core::priority priority,
                                                   core::steady_time now);

/// Returns the queue entry for the remaining work of a request that is paused at `now`.
waiting_request make_paused_entry(const admission_queue& queue, const running_request& running,
                                  core::steady_time now);

} // namespace figspoke::policy
