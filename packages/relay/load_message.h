#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/load_table.h"

namespace figspoke::relay {

/// A message between a node of a large fleet and the load aggregator of upstreams.
struct load_message {
    std::string node;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// The sender's requests on upstreams whose load the receiver aggregates.
    std::map<std::string, policy::upstream_use> uses;
    std::vector<std::pair<std::string, policy::upstream_event>> events;
    std::vector<std::pair<std::string, policy::speed_sample>> speed_samples;
    /// Id of the query for the load of `queried_upstreams`, which the reply repeats; 0 if there is no query.
    std::uint64_t query_id = 0;
    std::vector<std::string> queried_upstreams;
    /// Tokens of the request for which the sender queries; 0 for none.
    std::int64_t wanted_tokens = 0;
    /// Id of the query that `loads` replies to; 0 if this is not a reply.
    std::uint64_t answered_query_id = 0;
    std::vector<std::pair<std::string, policy::aggregated_load>> loads;
};

/// Returns whether a datagram is a load message and not a heartbeat.
bool is_load_message(std::string_view bytes);

/// Encodes a message as a marker byte and binary fields without names.
std::string encode_load_message(const load_message& message);

/// Decodes a message; empty if the bytes are not a valid one.
std::optional<load_message> decode_load_message(std::string_view bytes);

} // namespace figspoke::relay
