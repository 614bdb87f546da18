#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/time.h"

namespace figspoke::policy {

/// A request that waits until an upstream of its service has capacity.
struct queued_request {
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int rank = 0;
    core::steady_time since{};
    core::milliseconds latency_target{0};
};

/// The requests that wait on one node.
struct relay_queue {
    /// By service, then by request id.
    std::map<std::string, std::map<std::uint64_t, queued_request>> services;
};

struct relay_queue_settings {
    /// Ranks by which a request becomes more urgent while it waits for its latency target. Without aging the
    /// least urgent requests would starve while urgent ones fill every slot.
    double aging_ranks_per_target = 2;
    /// Longest queue of one service.
    std::size_t max_waiting = 400;
};

/// Adds a request. Returns false where the queue of the service is full.
bool add_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request);

/// Removes a request from the queue of a service.
void remove_waiting(relay_queue& queue, const std::string& service, std::uint64_t id);

/// Returns the request of a service that starts next: the one with the lowest rank after aging; among equal
/// ranks, the one that has waited longest. Aging keeps a flood of one rank from starving the others.
std::optional<std::uint64_t> next_waiting(const relay_queue& queue, const relay_queue_settings& settings,
                                          const std::string& service, core::steady_time now);

/// Returns the number of requests that wait for a service.
std::size_t waiting_count(const relay_queue& queue, const std::string& service);

} // namespace figspoke::policy
