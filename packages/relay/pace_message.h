#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figspoke::relay {

/// What a node has found of the pace of an upstream.
struct pace_record {
    int limit = 1;
    int setbacks = 0;
};

/// A datagram that tells the nodes of a small fleet the paces of upstreams.
using pace_message = std::map<std::string, pace_record>;

bool is_pace_message(std::string_view bytes);

std::string encode_pace_message(const pace_message& message);

/// Decodes a message; empty if the bytes are not a valid one.
std::optional<pace_message> decode_pace_message(std::string_view bytes);

} // namespace figspoke::relay
