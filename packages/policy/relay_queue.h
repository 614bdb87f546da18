#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "core/time.h"

namespace figspoke::policy {

/// A request that waits until an upstream of its service has capacity.
struct queued_request {
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    int rank = 0;
    core::steady_time since{};
    core::milliseconds latency_target{0};
    std::string account = {};
    /// Expected time on an upstream.
    core::milliseconds work{1};
    /// Latest starts at which the request is expected to meet its latency target and its deadline.
    core::steady_time on_time_until = core::steady_time::max();
    core::steady_time serve_until = core::steady_time::max();
    /// The caller has a part of the answer already.
    bool continues = false;
};

struct relay_queue_settings {
    /// Part of the work that each rank may start while more urgent ones wait. Without it the least urgent
    /// requests would starve while urgent ones fill every slot.
    double rank_floor = 0.1;
    /// Part of the starts of a rank that requests get that have missed their latency target.
    double late_floor = 0.1;
    /// Accounts whose parts differ by less than this are served in the order of their latest starts.
    core::milliseconds quantum{500};
    /// Longest queue of one rank of a service.
    std::size_t max_waiting = 200;
    /// Time for which requests must have waited before the rate of starts is known.
    core::milliseconds min_observation{250};
    /// Time over which the rate of starts is averaged.
    core::milliseconds averaging{2000};
    /// Part of the expected wait that counts when a request is refused. The estimate is rough, and a wrong
    /// refusal costs a caller more than a wait.
    double refusal_confidence = 0.8;
    /// Part of the time left after which callers return at most.
    double max_return_part = 1.0 / 3;
};

/// A waiting request and its start tag in the virtual time of its rank.
struct waiting_entry {
    queued_request request;
    double tag_ms = 0;
};

/// The waiting requests of one rank of a service, in start-time fair queueing over the client accounts.
struct rank_queue {
    std::map<std::uint64_t, waiting_entry> waiting;
    double virtual_ms = 0;
    /// Finish tag of the last request of each account that waits.
    std::map<std::string, double> finish_ms;
    /// Work that other ranks started while this one waited.
    double skipped_ms = 0;
    /// Starts in a row of requests that can still be on time while late ones waited.
    int late_skipped = 0;
    /// Time of the last start, or since when the rank waits.
    core::steady_time last_start{};
};

/// Work that was started while requests waited, averaged over recent time.
struct queue_drain {
    core::steady_time since{};
    core::steady_time updated_at{};
    core::steady_time last_start{};
    double started_ms = 0;
    double observed_ms = 0;
};

/// The requests that wait for one service, by rank.
struct service_queue {
    std::map<int, rank_queue> ranks;
    queue_drain drain;
};

/// The requests that wait on one node, by service. It answers bursts, floods of one rank, kind or account,
/// and the loss of upstreams: loads in which not all requests can start at once.
struct relay_queue {
    std::map<std::string, service_queue> services;
    /// Time until which callers were told to return, by service and rank.
    std::map<std::pair<std::string, int>, core::steady_time> returns_until;
};

/// Adds a request. Returns false where the queue of its rank is full; see `request_to_displace`.
bool add_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request);

/// Returns the waiting request that gives way to `request` in a full queue: the last one of the account with
/// the most waiting work of the rank. Empty where the account of `request` itself has the most.
std::optional<std::uint64_t> request_to_displace(const relay_queue& queue, const std::string& service,
                                                 const queued_request& request);

/// Removes a request that does not start.
void remove_waiting(relay_queue& queue, const std::string& service, std::uint64_t id);

/// Removes a request that starts, and counts its work.
void start_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                   std::uint64_t id, core::steady_time now);

/// Returns whether the request still waits.
bool is_waiting(const relay_queue& queue, const std::string& service, std::uint64_t id);

/// Returns the request of a service that starts next: of the most urgent rank that is owed its floor,
/// otherwise of the most urgent rank. Within a rank, requests that can still meet their latency target come
/// first, then accounts that had the smaller part, then the earliest latest start.
std::optional<std::uint64_t> next_waiting(const relay_queue& queue, const relay_queue_settings& settings,
                                          const std::string& service, core::steady_time now);

/// Returns the expected time until a request starts; empty where too little is known.
std::optional<core::milliseconds> expected_wait(const relay_queue& queue,
                                                const relay_queue_settings& settings,
                                                const std::string& service, const queued_request& request,
                                                core::steady_time now);

/// Returns whether the request, waiting or new, is not expected to start in time for its deadline.
bool is_hopeless(const relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request, core::steady_time now);

/// Returns when the caller of a refused request should return: when it is expected to find capacity, each
/// caller after those that were sent away before it, and within the part of the time left that callers wait.
/// `draw` is a random number in [0, 1).
core::milliseconds return_time(relay_queue& queue, const relay_queue_settings& settings,
                               const std::string& service, const queued_request& request,
                               core::milliseconds time_left, double draw, core::steady_time now);

/// Returns the number of requests that wait for a service, in all or of one rank.
std::size_t waiting_count(const relay_queue& queue, const std::string& service);
std::size_t waiting_count(const relay_queue& queue, const std::string& service, int rank);

} // namespace figspoke::policy
