#pragma once

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "adapters/http_client.h"
#include "adapters/ports.h"

namespace figspoke::adapters {

/// Where a platform service listens and how long a call may take. `client` outlives the port.
struct platform_endpoint {
    http_client& client;
    std::string address;
    std::chrono::milliseconds timeout;
};

/// The largest sequence number that an answer may hold.
inline constexpr std::uint64_t max_sequence = std::numeric_limits<std::int64_t>::max();

/// The longest duration that an answer may hold, in milliseconds.
inline constexpr std::uint64_t max_duration_ms = 3600000;

/// Sends a request and returns the answer whatever its status.
platform_result<http_reply> call_platform(http_client& client, const http_call& call,
                                          const boost::asio::yield_context& yield);

/// Returns the failure for an answer with a status that the call doesn't expect.
tl::unexpected<platform_failure> unexpected_status(const http_call& call, const http_reply& reply);

/// Reads an answer with a function that throws `std::invalid_argument` where the answer is malformed.
template <class Read>
auto read_reply(const http_call& call, const http_reply& reply, Read read)
    -> platform_result<std::invoke_result_t<Read, const http_reply&>> {
    try {
        return read(reply);
    } catch (const std::invalid_argument& malformed) {
        return tl::make_unexpected(platform_failure{true, call.method + " " + call.target + " of " +
                                                              call.address + ": " + malformed.what()});
    }
}

/// Sends a GET request and reads its answer of status 200.
template <class Read>
auto get_from_platform(const platform_endpoint& at, const std::string& target,
                       const boost::asio::yield_context& yield, Read read)
    -> platform_result<std::invoke_result_t<Read, const http_reply&>> {
    const http_call call{at.address, "GET", target, {}, {}, at.timeout, true};
    auto reply = call_platform(at.client, call, yield);
    if (!reply) {
        return tl::make_unexpected(std::move(reply.error()));
    }
    if (reply->status != 200) {
        return unexpected_status(call, *reply);
    }
    return read_reply(call, *reply, read);
}

/// Writes bytes other than letters, digits and those in `kept` as `%XX`.
std::string percent_escape(std::string_view text, std::string_view kept);

/// Escapes a text for use as one segment of a path or as a query value.
std::string escape_segment(const std::string& text);

} // namespace figspoke::adapters
