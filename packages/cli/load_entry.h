#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "adapters/http_client.h"

namespace figspoke::cli {

/// The addresses that `/v1/entry` named for one caller, for one thread.
struct entry_book {
    /// Asked first, before any other address is known.
    std::string seed;
    /// Text that tells this caller from others.
    std::string caller;
    std::vector<std::string> addresses = {};
    std::chrono::steady_clock::time_point valid_until = {};
    bool is_asking = false;
    std::size_t next = 0;
};

/// Returns an address to send to, in turn, after asking again where the last answer is no longer valid.
std::string take_address(entry_book& book, adapters::http_client& client,
                         const boost::asio::yield_context& yield);

/// Ends the validity of the book's addresses.
void expire(entry_book& book);

} // namespace figspoke::cli
