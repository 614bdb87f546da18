#pragma once

#include <map>
#include <mutex>
#include <string>

#include <boost/asio/spawn.hpp>

#include "core/config.h"
#include "core/error.h"
#include "core/time.h"
#include "policy/rate_shares.h"

namespace figspoke::node {

struct node_state;

/// This node's authority over one account's limit, as recorded in the key-value service.
struct allocator_seat {
    policy::rate_allocator allocator;
    std::uint64_t kv_version = 0;
    bool holds_epoch = false;
    /// Highest epoch that a demand named. The key-value service may have lost it.
    std::uint64_t known_epoch = 0;
    core::steady_time demanded_at;
};

/// Shares of the accounts' fleet-wide limits: those that this node uses and those that it gives out.
struct rate_service {
    std::mutex mutex;
    std::map<std::string, policy::rate_holder> holders;
    std::map<std::string, allocator_seat> seats;
};

/// Takes tokens of the account's limit for one request, and waits a short time for this node's share to hold
/// them. Fails with `rate_limited`. Accounts without a limit always succeed.
core::result<void> take_rate(node_state& node, const core::client_account& account, double tokens,
                             core::steady_time deadline, const boost::asio::yield_context& yield);

/// Returns tokens that a request took and did not use.
void return_rate(node_state& node, const core::client_account& account, double tokens);

/// Serves a peer's demand; returns the encoded grant, or an empty text.
std::string serve_rate_demand(node_state& node, const std::string& body);

/// Starts sending demands and keeping the authority over limits.
void start_rates(node_state& node);

} // namespace figspoke::node
