#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace figspoke::state {

/// The requests that one connection to an upstream has carried, as hashes of their ids.
struct link_history {
    std::vector<std::uint64_t> requests;
};

/// A connection is closed after this many requests, which bounds its history.
inline constexpr std::size_t max_requests_per_link = 256;

/// Records that a request is sent on the connection.
void record_request(link_history& history, const std::string& request_id);

/// Returns whether the connection has carried no request with this id. A late copy of an earlier answer to
/// the same id couldn't be told from the answer to the present send.
bool may_carry(const link_history& history, const std::string& request_id);

/// Returns whether the connection has carried as many requests as it may.
bool is_used_up(const link_history& history);

} // namespace figspoke::state
