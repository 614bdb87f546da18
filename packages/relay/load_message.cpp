#include "relay/load_message.h"

#include <nlohmann/json.hpp>

#include "relay/use_codec.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

// Distinct from a heartbeat, which is a CBOR map and starts with a byte of 0xa0 or more.
constexpr char load_marker = 'L';

policy::upstream_event event_of(int number) {
    if (number < 0 || number >= policy::upstream_event_count) {
        throw std::invalid_argument("event of an upstream out of range");
    }
    return static_cast<policy::upstream_event>(number);
}

load_message read_message(const json& value) {
    load_message message;
    message.node = value.at(0).get<std::string>();
    message.incarnation = value.at(1).get<std::uint64_t>();
    message.sequence = value.at(2).get<std::uint64_t>();
    for (const auto& item : value.at(3)) {
        message.uses[item.at(0).get<std::string>()] = use_of(item.at(1));
    }
    for (const auto& item : value.at(4)) {
        message.events.emplace_back(item.at(0).get<std::string>(), event_of(item.at(1).get<int>()));
    }
    message.query_id = value.at(5).get<std::uint64_t>();
    message.queried_upstreams = value.at(6).get<std::vector<std::string>>();
    message.answered_query_id = value.at(7).get<std::uint64_t>();
    for (const auto& item : value.at(8)) {
        message.loads.emplace_back(
            item.at(0).get<std::string>(),
            policy::aggregated_load{use_of(item.at(1)), item.at(2).get<bool>(), item.at(3).get<bool>()});
    }
    return message;
}

} // namespace

bool is_load_message(std::string_view bytes) {
    return !bytes.empty() && bytes.front() == load_marker;
}

std::string encode_load_message(const load_message& message) {
    json uses = json::array();
    for (const auto& [upstream, use] : message.uses) {
        uses.push_back({upstream, use_json(use)});
    }
    json events = json::array();
    for (const auto& [upstream, event] : message.events) {
        events.push_back({upstream, static_cast<int>(event)});
    }
    json loads = json::array();
    for (const auto& [upstream, load] : message.loads) {
        loads.push_back({upstream, use_json(load.use), load.suspect, load.full});
    }
    std::string bytes(1, load_marker);
    json::to_cbor(json::array({message.node, message.incarnation, message.sequence, std::move(uses),
                               std::move(events), message.query_id, message.queried_upstreams,
                               message.answered_query_id, std::move(loads)}),
                  bytes);
    return bytes;
}

std::optional<load_message> decode_load_message(std::string_view bytes) {
    try {
        return read_message(json::from_cbor(bytes.begin() + 1, bytes.end()));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace figspoke::relay
