#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "platform/soak/promise_ledger.h"

namespace figspoke::soak {

/// What callers share.
struct caller_world {
    boost::asio::io_context& context;
    promise_ledger& ledger;
    /// Addresses at which nodes answer the question where to connect.
    std::vector<std::string> directories;
    /// Keys in use and keys that were taken away.
    std::vector<std::string> keys;
    std::mt19937 random;
    std::uint64_t next_id = 1;
    bool stopping = false;
    /// From then on every request of a valid key must be served.
    bool calm = false;
    std::map<std::string, int> outcomes;
    int running = 0;
};

/// Sends requests until the world stops, over connections that stay open until the node closes them. Checks
/// each answer and notes it in the ledger.
void run_caller(caller_world& world, const boost::asio::yield_context& yield);

} // namespace figspoke::soak
