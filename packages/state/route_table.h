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

/// What may be done with a request whose outcome is unknown.
enum class repeat_rule {
    /// It may run any number of times.
    idempotent,
    /// It may run once at most.
    at_most_once,
    /// A stream of events that another upstream may continue from the last event id.
    resumable
};

/// One of the services that share a route's traffic.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// A route of the relay: requests of one host whose path begins with `prefix`.
struct relay_route {
    std::string name;
    std::string prefix;
    std::vector<weighted_service> services;
    repeat_rule repeat = repeat_rule::at_most_once;
    /// Whether answers are streams of events, passed on as they come.
    bool streaming = false;
    /// Longest time that a request may be kept waiting for its end.
    core::milliseconds timeout{30000};
    /// Time within which an answer (of a stream: its first event) counts in full.
    core::milliseconds latency_target{1000};
    /// 0 is the most urgent.
    int rank = 0;
    /// Upstreams that one request may be sent to.
    int max_attempts = 1;
    /// Whether requests need no API key.
    bool anonymous = false;
    /// Whether requests share prompt prefixes that upstreams cache.
    bool shares_prefixes = false;
    /// Models to choose from, smallest first; empty where the caller names the model.
    std::vector<std::string> models;
};

/// The model engines of a service.
struct engine_profile {
    int slots = 1;
    std::int64_t kv_capacity_tokens = 0;
};

/// A service that routes lead to.
struct relay_service {
    /// Connections that one upstream accepts from all nodes together.
    int max_connections = 64;
    /// Empty for plain services.
    std::optional<engine_profile> engine;
};

/// A client account as the relay sees it.
struct relay_account {
    std::string name;
    /// Replaces the rank of the route.
    std::optional<int> rank;
};

/// Bounds on what a caller may send.
struct input_limits {
    std::uint32_t header_bytes = 16U * 1024;
    std::uint64_t body_bytes = 4U * 1024 * 1024;
    core::milliseconds header_timeout{3000};
    core::milliseconds idle_timeout{15000};
};

/// One version of the relay's configuration. It is never changed once it is shared.
struct route_table {
    std::uint64_t version = 0;
    /// Routes by host, those with the longest prefix first.
    std::map<std::string, std::vector<relay_route>> hosts;
    std::map<std::string, relay_service> services;
    std::vector<relay_account> accounts;
    /// Index into `accounts` by API key.
    std::map<std::string, std::size_t, std::less<>> account_of_key;
    input_limits limits;
};

using route_table_ptr = std::shared_ptr<const route_table>;

/// Sorts the routes of each host so that `find_route` sees the longest prefix first.
void order_routes(route_table& table);

/// Returns the route with the longest prefix that begins the path, or null. A query in `target` is ignored.
const relay_route* find_route(const route_table& table, std::string_view host, std::string_view target);

/// Returns the account that holds the key, or null.
const relay_account* find_account(const route_table& table, std::string_view key);

/// Returns the service for a request by the weights of the route; `draw` lies in [0, 1). Empty where no
/// service has a weight.
std::string choose_service(const relay_route& route, double draw);

} // namespace figspoke::state
