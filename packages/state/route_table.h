#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::state {

/// How a request may be retried after its outcome became unknown.
enum class retry_policy {
    /// The request may run any number of times.
    idempotent,
    /// The request may run at most once.
    at_most_once,
    /// The answer is a stream of events that another upstream may continue from the last event id.
    resumable
};

/// A service that receives a share of a route's traffic, in proportion to its weight.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// A route of the relay. It matches requests to one host whose path begins with `prefix`.
struct relay_route {
    std::string name;
    std::string prefix;
    std::vector<weighted_service> services;
    retry_policy retry = retry_policy::at_most_once;
    /// Whether answers are streams of events, which are forwarded as they arrive.
    bool streaming = false;
    /// Longest time from the arrival of a request to the end of its answer.
    core::milliseconds timeout{30000};
    /// Time within which an answer (for a stream, its first event) has its full value.
    core::milliseconds latency_target{1000};
    /// Priority class; 0 is the most urgent.
    int rank = 0;
    /// Maximum number of upstreams that one request is sent to.
    int max_attempts = 1;
    /// Whether requests without an API key are accepted.
    bool anonymous = false;
    /// Whether requests share prompt prefixes that upstreams cache.
    bool shares_prefixes = false;
    /// Models to choose from, smallest first; empty if the caller names the model.
    std::vector<std::string> models;
    /// Longest pause between two events of a stream that is on time; zero if the operator names none.
    core::milliseconds target_gap{0};
    /// Regions in which requests may run; empty for all.
    std::vector<std::string> regions;
};

/// Capacity of each model engine of a service.
struct engine_profile {
    int slots = 1;
    std::int64_t kv_capacity_tokens = 0;
};

/// A service to which routes forward requests.
struct relay_service {
    /// Connections that one upstream accepts from all nodes together.
    int max_connections = 64;
    /// Empty for services that don't run model engines.
    std::optional<engine_profile> engine;
    /// Time after its start in which an upstream is cold, and the requests a second that it takes from all
    /// nodes together meanwhile; zero if its upstreams are never cold.
    core::milliseconds cold_start{0};
    double cold_per_second = 0;
    /// Cost of 1,000 generated tokens, by model.
    std::map<std::string, double> model_costs;
};

/// The part of a client account that the relay uses.
struct relay_account {
    std::string name;
    /// Overrides the rank of the route.
    std::optional<int> rank;
    /// Regions in which its requests may run; empty for all.
    std::vector<std::string> regions;
};

/// Limits on the size and the timing of a caller's requests.
struct input_limits {
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 4U * 1024 * 1024;
    core::milliseconds header_timeout{3000};
    core::milliseconds idle_timeout{15000};
};

/// One version of the relay's configuration. Immutable once it is shared.
struct route_table {
    std::uint64_t version = 0;
    /// Routes by host, longest prefix first.
    std::map<std::string, std::vector<relay_route>> hosts;
    std::map<std::string, relay_service> services;
    std::vector<relay_account> accounts;
    /// Index into `accounts` by API key.
    std::map<std::string, std::size_t, std::less<>> account_of_key;
    input_limits limits;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Sorts the routes of each host by descending length of the prefix, as `find_route` requires.
void sort_routes(route_table& table);

/// Returns the route with the longest prefix that the path begins with, or null. A port in `host` and a query
/// in `target` are ignored.
const relay_route* find_route(const route_table& table, std::string_view host, std::string_view target);

/// Returns the account of the API key, or null.
const relay_account* find_account(const route_table& table, std::string_view key);

/// Chooses a service by the weights of the route. `draw` is a random number in [0, 1). Returns an empty
/// name if no service has a positive weight.
std::string choose_service(const relay_route& route, double draw);

} // namespace figspoke::state
