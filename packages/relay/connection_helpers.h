#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"
#include "relay/wire_protocol.h"

namespace figspoke::relay {

/// Copies the header fields of a Beast message in order, including repeated fields.
template <class Fields>
header_list copy_fields(const Fields& fields) {
    header_list headers;
    for (const auto& field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

/// Disables Nagle's algorithm and limits the time that sent bytes may stay unacknowledged before the kernel
/// closes the connection. Errors are ignored: the connection works without the options.
inline void set_connection_options(boost::asio::ip::tcp::socket& socket, core::milliseconds unacknowledged) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const int limit = static_cast<int>(unacknowledged.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

} // namespace figspoke::relay
