#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/load_board.h"

namespace figspoke::relay {

/// What nodes of a large fleet and the keepers of upstreams send each other.
struct load_message {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The sender's requests on upstreams that the receiver keeps.
    std::map<std::string, policy::upstream_use> uses;
    std::vector<std::pair<std::string, policy::upstream_event>> events;
    /// Upstreams whose load the sender asks for, under a number that comes back with the answer.
    std::uint64_t question = 0;
    std::vector<std::string> asked;
    /// The number of the question that `loads` answers; 0 where there is none.
    std::uint64_t answered = 0;
    std::vector<std::pair<std::string, policy::kept_load>> loads;
};

/// Whether a datagram is a load message and not a beat.
bool is_load_message(std::string_view bytes);

/// Renders a message as a marker byte and CBOR.
std::string encode_load_message(const load_message& message);

/// Parses a message; empty where the bytes aren't one.
std::optional<load_message> decode_load_message(std::string_view bytes);

} // namespace figspoke::relay
