#pragma once

#include <optional>

#include "policy/admission_queue.h"

namespace figspoke::policy {

/// Returns the running request to pause so that a request of the priority can start, of an account that asks
/// for no more than its share; empty where none may be paused.
std::optional<std::uint64_t> find_pausable(const admission_queue& queue, core::priority priority,
                                           core::steady_time now);

/// Returns the entry with which a paused request waits for the rest of its work.
waiting_request paused_entry(const admission_queue& queue, const running_request& running,
                             core::steady_time now);

} // namespace figspoke::policy
