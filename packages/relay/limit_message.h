#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "core/time.h"

namespace figspoke::relay {

/// An upstream's latest statement of the rate of requests that it takes, as nodes tell each other.
struct limit_record {
    /// Requests a second; empty if the upstream takes any number.
    std::optional<double> per_second;
    core::milliseconds age{0};
};

/// Times since upstreams were seen to be down, by upstream.
using down_message = std::map<std::string, core::milliseconds>;

/// Statements by upstream.
using limit_message = std::map<std::string, limit_record>;

/// Returns whether a datagram is a limit message or a message about upstreams that are down. Nodes that don't
/// know these messages ignore them.
bool is_limit_message(std::string_view bytes);

/// Encodes a message as a marker byte and binary fields. Rates are rounded to thousandths.
std::string encode_limit_message(const limit_message& message);

/// Decodes a message; empty if the bytes are not a valid one.
std::optional<limit_message> decode_limit_message(std::string_view bytes);

/// Encodes a message as a marker byte of its own and binary fields.
std::string encode_down_message(const down_message& message);

/// Decodes a message; empty if the bytes are not a valid one.
std::optional<down_message> decode_down_message(std::string_view bytes);

} // namespace figspoke::relay
