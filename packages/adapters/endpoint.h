#pragma once

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace figspoke::adapters {

/// Parses `IP:port`, port 0 included; empty where the text is something else.
std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address);

/// Parses the `IP:port` of a listening socket. Throws `std::runtime_error` where the text is something else.
boost::asio::ip::tcp::endpoint listen_endpoint(const std::string& address);

} // namespace figspoke::adapters
