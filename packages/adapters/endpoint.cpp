#include "adapters/endpoint.h"

#include <charconv>
#include <stdexcept>

namespace figspoke::adapters {

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    boost::system::error_code code;
    const auto ip = boost::asio::ip::make_address(address.substr(0, colon), code);
    unsigned short port = 0;
    const char* const end = address.data() + address.size();
    const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
    if (code || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

boost::asio::ip::tcp::endpoint listen_endpoint(const std::string& address) {
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        throw std::runtime_error("listen address \"" + address + "\" is not IP:port");
    }
    return *endpoint;
}

} // namespace figspoke::adapters
