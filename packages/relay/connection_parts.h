#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/ip/tcp.hpp>

#include "core/time.h"
#include "relay/wire_protocol.h"

namespace figspoke::relay {

/// Copies the fields of a Beast message in their order, repeated ones included.
template <class Fields>
header_list copy_fields(const Fields& fields) {
    header_list headers;
    for (const auto& field : fields) {
        headers.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    return headers;
}

/// Sends small writes at once, and lets the kernel end the connection when bytes stay unacknowledged for the
/// time. A connection that refuses the options works without them.
inline void set_connection_options(boost::asio::ip::tcp::socket& socket, core::milliseconds unacknowledged) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    const int limit = static_cast<int>(unacknowledged.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
}

} // namespace figspoke::relay
