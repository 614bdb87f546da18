#include "relay/heartbeat_message.h"

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "relay/use_codec.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

constexpr int heartbeat_format = 2;

json member_json(const state::member_entry& entry) {
    return json::array({entry.id, entry.http_address, entry.mesh_address, entry.failure_domain,
                        entry.incarnation, entry.heartbeat, static_cast<int>(entry.state), entry.load});
}

state::member_state read_member_state(const json& value) {
    const auto state = state::member_state_of(value.get<std::uint64_t>());
    if (!state) {
        throw std::invalid_argument("member state out of range");
    }
    return *state;
}

state::member_entry member_of(const json& value) {
    state::member_entry entry;
    entry.id = value.at(0).get<std::string>();
    entry.http_address = value.at(1).get<std::string>();
    entry.mesh_address = value.at(2).get<std::string>();
    entry.failure_domain = value.at(3).get<std::string>();
    entry.incarnation = value.at(4).get<std::uint64_t>();
    entry.heartbeat = value.at(5).get<std::uint64_t>();
    entry.state = read_member_state(value.at(6));
    entry.load = value.at(7).get<std::uint8_t>();
    return entry;
}

rollout_state rollout_state_of(int number) {
    if (number < 0 || number > static_cast<int>(rollout_state::reverted)) {
        throw std::invalid_argument("roll-out state out of range");
    }
    return static_cast<rollout_state>(number);
}

json counts_json(const policy::version_counts& counts) {
    return json::array({counts.sent, counts.good, counts.bad, counts.first_byte_ms});
}

policy::version_counts counts_of(const json& value) {
    return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>(),
            value.at(2).get<std::uint64_t>(), value.at(3).get<std::uint64_t>()};
}

json documents_json(const heartbeat_message& message) {
    json list = json::array();
    for (const auto& claim : message.documents) {
        list.push_back({claim.at, claim.hash, claim.age.count()});
    }
    return list;
}

json lists_json(const heartbeat_message& message) {
    json uses = json::array();
    for (const auto& [id, use] : message.uses) {
        uses.push_back({id, use_json(use)});
    }
    json trials = json::array();
    for (const auto& record : message.trials) {
        const auto& report = record.report;
        trials.push_back({record.service, record.order, report.node, report.incarnation, report.sequence,
                          counts_json(report.target), counts_json(report.old), report.running_on_old,
                          record.age.count()});
    }
    json crashes = json::array();
    for (const auto& record : message.crashes) {
        crashes.push_back({record.fingerprint, record.upstream, record.age.count()});
    }
    json rollouts = json::array();
    for (const auto& record : message.rollouts) {
        rollouts.push_back({record.service, record.order, static_cast<int>(record.state), record.stopped,
                            record.written, record.elapsed.count()});
    }
    json sessions = json::array();
    for (const auto& record : message.sessions) {
        sessions.push_back({record.session, record.on_target, record.age.count()});
    }
    json members = json::array();
    for (const auto& member : message.members) {
        members.push_back({member_json(member.entry), member.silence.count()});
    }
    // A flat list, because compact members are the largest part of a heartbeat in a large fleet.
    json compact_members = json::array();
    for (const auto& member : message.compact_members) {
        for (const std::int64_t number : {std::int64_t(member.tag), std::int64_t(member.heartbeat),
                                          std::int64_t(member.state), member.silence.count()}) {
            compact_members.push_back(number);
        }
    }
    return {{"h", std::move(compact_members)}, {"u", std::move(uses)},     {"c", std::move(trials)},
            {"k", std::move(crashes)},         {"r", std::move(rollouts)}, {"p", std::move(sessions)},
            {"m", std::move(members)}};
}

void read_compact_members(const json& numbers, heartbeat_message& message) {
    for (std::size_t i = 0; i < numbers.size(); i += 4) {
        message.compact_members.push_back({numbers.at(i).get<std::uint32_t>(),
                                           numbers.at(i + 1).get<std::uint64_t>(),
                                           read_member_state(numbers.at(i + 2)),
                                           core::milliseconds(numbers.at(i + 3).get<std::int64_t>())});
    }
}

void read_lists(const json& value, heartbeat_message& message) {
    read_compact_members(value.at("h"), message);
    for (const auto& item : value.at("u")) {
        message.uses[item.at(0).get<std::string>()] = use_of(item.at(1));
    }
    for (const auto& record : value.at("c")) {
        policy::trial_report report{record.at(2).get<std::string>(),   record.at(3).get<std::uint64_t>(),
                                    record.at(4).get<std::uint64_t>(), counts_of(record.at(5)),
                                    counts_of(record.at(6)),           record.at(7).get<int>()};
        message.trials.push_back({record.at(0).get<std::string>(), record.at(1).get<std::uint64_t>(),
                                  std::move(report), core::milliseconds(record.at(8).get<std::int64_t>())});
    }
    for (const auto& record : value.at("k")) {
        message.crashes.push_back({record.at(0).get<std::uint64_t>(), record.at(1).get<std::string>(),
                                   core::milliseconds(record.at(2).get<std::int64_t>())});
    }
    for (const auto& record : value.at("r")) {
        message.rollouts.push_back({record.at(0).get<std::string>(), record.at(1).get<std::uint64_t>(),
                                    rollout_state_of(record.at(2).get<int>()), record.at(3).get<bool>(),
                                    record.at(4).get<bool>(),
                                    core::milliseconds(record.at(5).get<std::int64_t>())});
    }
    for (const auto& record : value.at("p")) {
        message.sessions.push_back({record.at(0).get<std::uint64_t>(), record.at(1).get<bool>(),
                                    core::milliseconds(record.at(2).get<std::int64_t>())});
    }
    for (const auto& member : value.at("m")) {
        message.members.push_back(
            {member_of(member.at(0)), core::milliseconds(member.at(1).get<std::int64_t>())});
    }
}

heartbeat_message read_heartbeat(const json& value) {
    heartbeat_message message;
    if (value.at("v").get<int>() != heartbeat_format) {
        throw std::invalid_argument("unknown format of a beat");
    }
    message.sender = member_of(value.at("s"));
    message.stamp = value.at("t").get<std::int64_t>();
    if (const auto echo = value.find("e"); echo != value.end()) {
        message.echoed_stamp = echo->at(0).get<std::int64_t>();
        message.echo_held = std::chrono::microseconds(echo->at(1).get<std::int64_t>());
    }
    const auto& documents = value.at("d");
    for (std::size_t i = 0; i < document_count; ++i) {
        const auto& claim = documents.at(i);
        message.documents.at(i) = {claim.at(0).get<std::uint64_t>(), claim.at(1).get<std::uint64_t>(),
                                   core::milliseconds(claim.at(2).get<std::int64_t>())};
    }
    read_lists(value, message);
    return message;
}

} // namespace

std::uint32_t member_tag(const std::string& id, std::uint64_t incarnation) {
    return std::uint32_t(core::stable_hash(id + '/' + std::to_string(incarnation)));
}

std::string encode_heartbeat(const heartbeat_message& message) {
    json value = lists_json(message);
    value["v"] = heartbeat_format;
    value["s"] = member_json(message.sender);
    value["t"] = message.stamp;
    value["d"] = documents_json(message);
    if (message.echoed_stamp) {
        value["e"] = json::array({*message.echoed_stamp, message.echo_held.count()});
    }
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<heartbeat_message> decode_heartbeat(std::string_view bytes) {
    try {
        return read_heartbeat(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace figspoke::relay
