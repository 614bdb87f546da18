#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// A request that waits for room at the upstreams of a service.
struct waiting_request {
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int rank = 0;
    core::steady_time since{};
    core::milliseconds latency_target{0};
};

/// Requests that wait on one node, by service.
struct relay_queue {
    std::map<std::string, std::map<std::uint64_t, waiting_request>> services;
};

struct relay_queue_settings {
    /// Ranks that a request rises by while it waits for as long as its latency target. Without it the least
    /// urgent work would get nothing while urgent work fills every slot.
    double ranks_per_target = 2;
    std::size_t max_waiting = 400;
};

/// Adds a request; false where the queue is full.
bool add_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const waiting_request& request);

/// Removes a request. It can't start afterwards.
void remove_waiting(relay_queue& queue, const std::string& service, std::uint64_t id);

/// Returns the request of a service that starts next: the lowest rank, reduced by its waiting time, then the
/// longest wait. Answers floods of one rank: the others keep moving.
std::optional<std::uint64_t> next_waiting(const relay_queue& queue, const relay_queue_settings& settings,
                                          const std::string& service, core::steady_time now);

/// Returns the number of requests that wait for a service.
std::size_t waiting_for(const relay_queue& queue, const std::string& service);

} // namespace figspoke::policy
