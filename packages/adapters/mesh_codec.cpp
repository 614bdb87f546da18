#include "adapters/mesh_codec.h"

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>

#include <nlohmann/json.hpp>

namespace figspoke::adapters {
namespace {

using nlohmann::json;

// Member entries are arrays rather than maps and digests use one-letter keys: names would be most of their
// bytes. All other messages use whole names.

// The parser recurses at each nesting level, and two megabytes of array headers would exhaust the stack.
constexpr int max_depth = 16;

struct depth_check : json::json_sax_t {
    int depth = 0;

    bool deeper() { return ++depth <= max_depth; }
    bool shallower() {
        --depth;
        return true;
    }

    bool null() override { return true; }
    bool boolean(bool /*value*/) override { return true; }
    bool number_integer(number_integer_t /*value*/) override { return true; }
    bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
    bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
    bool string(string_t& /*value*/) override { return true; }
    bool binary(binary_t& /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override { return deeper(); }
    bool key(string_t& /*value*/) override { return true; }
    bool end_object() override { return shallower(); }
    bool start_array(std::size_t /*size*/) override { return deeper(); }
    bool end_array() override { return shallower(); }
    bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                     const nlohmann::detail::exception& /*failure*/) override {
        return false;
    }
};

json binary(const std::string& bytes) {
    return json::binary({bytes.begin(), bytes.end()});
}

std::string bytes_of(const json& value) {
    const auto& bytes = value.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::uint64_t unsigned_at(const json& map, const char* key) {
    const json& value = map.at(key);
    if (!value.is_number_unsigned()) {
        throw std::runtime_error(std::string("field \"") + key + "\" is not an unsigned number");
    }
    return value.get<std::uint64_t>();
}

core::milliseconds duration_of(const json& value) {
    // A day bounds what a peer can claim, so that no later sum of times overflows.
    constexpr std::int64_t max_ms = 24LL * 3600 * 1000;
    const auto ms = value.get<std::int64_t>();
    if (ms < 0 || ms > max_ms) {
        throw std::runtime_error("duration " + std::to_string(ms) + " ms is out of range");
    }
    return core::milliseconds(ms);
}

json duration_to_json(core::milliseconds value) {
    constexpr core::milliseconds max_duration{24LL * 3600 * 1000};
    return std::min(value, max_duration).count();
}

json encode_member(const state::full_member_entry& member) {
    const auto& entry = member.entry;
    return {
        member.index,         entry.id,          entry.http_address, entry.mesh_address,
        entry.failure_domain, entry.incarnation, entry.heartbeat,    entry.table_revision,
        entry.roster_version, int(entry.state),  int(entry.load),    duration_to_json(member.heartbeat_age),
        entry.payload};
}

state::full_member_entry decode_member(const json& value) {
    state::full_member_entry member;
    auto& entry = member.entry;
    member.index = value.at(0).get<std::uint64_t>();
    entry.id = value.at(1).get<std::string>();
    entry.http_address = value.at(2).get<std::string>();
    entry.mesh_address = value.at(3).get<std::string>();
    entry.failure_domain = value.at(4).get<std::string>();
    entry.incarnation = value.at(5).get<std::uint64_t>();
    entry.heartbeat = value.at(6).get<std::uint64_t>();
    entry.table_revision = value.at(7).get<std::uint64_t>();
    entry.roster_version = value.at(8).get<std::uint64_t>();
    const auto number = value.at(9).get<unsigned>();
    const auto state = state::member_state_of(number);
    if (!state) {
        throw std::runtime_error("member \"" + entry.id + "\" has the unknown state " +
                                 std::to_string(number));
    }
    entry.state = *state;
    entry.load = value.at(10).get<std::uint8_t>();
    member.heartbeat_age = duration_of(value.at(11));
    entry.payload = value.at(12).get<std::map<std::string, std::string>>();
    return member;
}

void encode(json& map, const digest_message& message) {
    const auto& digest = message.digest;
    map["q"] = digest.sequence;
    map["r"] = digest.table_revision;
    map["k"] = digest.request_number;
    map["e"] = digest.echoed_request_number;
    map["o"] = digest.roster_version;
    if (digest.full) {
        map["f"] = true;
    }
    if (digest.resync_requested) {
        map["y"] = true;
    }
    if (digest.table_age) {
        map["a"] = duration_to_json(*digest.table_age);
    }
    if (!digest.encoded_deltas.empty()) {
        map["h"] = binary(digest.encoded_deltas);
    }
    for (const auto& member : digest.members) {
        map["m"].push_back(encode_member(member));
    }
}

void decode(const json& map, digest_message& message) {
    auto& digest = message.digest;
    digest.sequence = unsigned_at(map, "q");
    digest.table_revision = unsigned_at(map, "r");
    digest.request_number = unsigned_at(map, "k");
    digest.echoed_request_number = unsigned_at(map, "e");
    digest.roster_version = unsigned_at(map, "o");
    digest.full = map.value("f", false);
    digest.resync_requested = map.value("y", false);
    if (map.contains("a")) {
        digest.table_age = duration_of(map.at("a"));
    }
    if (map.contains("h")) {
        digest.encoded_deltas = bytes_of(map.at("h"));
    }
    if (map.contains("m")) {
        for (const auto& member : map.at("m")) {
            digest.members.push_back(decode_member(member));
        }
    }
}

void encode(json& map, const hello_message& message) {
    map["nonce"] = message.nonce;
    map["standing"] = message.standing;
}

void decode(const json& map, hello_message& message) {
    message.nonce = map.at("nonce").get<std::string>();
    message.standing = map.at("standing").get<bool>();
}

void encode(json& map, const proof_message& message) {
    map["hmac"] = message.hmac;
}

void decode(const json& map, proof_message& message) {
    message.hmac = map.at("hmac").get<std::string>();
}

void encode(json& map, const table_message& message) {
    map["revision"] = message.revision;
    map["table"] = binary(message.text);
}

void decode(const json& map, table_message& message) {
    message.revision = unsigned_at(map, "revision");
    message.text = bytes_of(map.at("table"));
}

void encode(json& map, const table_get_message& message) {
    map["revision"] = message.revision;
}

void decode(const json& map, table_get_message& message) {
    message.revision = unsigned_at(map, "revision");
}

void encode(json& map, const roster_message& message) {
    map["version"] = message.version;
    map["roster"] = binary(message.text);
}

void decode(const json& map, roster_message& message) {
    message.version = unsigned_at(map, "version");
    message.text = bytes_of(map.at("roster"));
}

void encode(json& map, const roster_get_message& message) {
    map["version"] = message.version;
}

void decode(const json& map, roster_get_message& message) {
    message.version = unsigned_at(map, "version");
}

void encode(json& map, const rpc_message& message) {
    map["id"] = message.id;
    map["method"] = message.method;
    map["body"] = binary(message.body);
}

void decode(const json& map, rpc_message& message) {
    message.id = unsigned_at(map, "id");
    message.method = map.at("method").get<std::string>();
    message.body = bytes_of(map.at("body"));
}

void encode(json& map, const rpc_reply_message& message) {
    map["id"] = message.id;
    map["error"] = message.error;
    map["body"] = binary(message.body);
}

void decode(const json& map, rpc_reply_message& message) {
    message.id = unsigned_at(map, "id");
    message.error = map.at("error").get<std::string>();
    message.body = bytes_of(map.at("body"));
}

void encode(json& map, const report_message& message) {
    map["body"] = binary(message.body);
}

void decode(const json& map, report_message& message) {
    message.body = bytes_of(map.at("body"));
}

void encode(json& /*map*/, std::monostate /*message*/) {}

// The names of the message types, in the order of `mesh_message`.
constexpr std::array<std::string_view, std::variant_size_v<mesh_message>> type_names{
    "none",   "hello",      "proof", "digest",    "table", "table_get",
    "roster", "roster_get", "rpc",   "rpc_reply", "report"};

template <std::size_t Index = 1>
mesh_message decode_body(std::string_view type, const json& map) {
    if constexpr (Index == std::variant_size_v<mesh_message>) {
        return std::monostate{};
    } else {
        if (type == type_names[Index]) {
            std::variant_alternative_t<Index, mesh_message> message{};
            decode(map, message);
            return message;
        }
        return decode_body<Index + 1>(type, map);
    }
}

core::result<mesh_envelope> malformed(const std::string& reason) {
    return core::fail(core::error_kind::bad_request, "mesh message is malformed: " + reason);
}

mesh_envelope decode_map(const json& map) {
    if (unsigned_at(map, "v") == 0) {
        throw std::runtime_error("field \"v\" is 0");
    }
    mesh_envelope envelope;
    envelope.from = map.at("from").get<std::string>();
    envelope.message = decode_body(map.at("type").get<std::string>(), map);
    return envelope;
}

} // namespace

std::string encode_message(const std::string& from, const mesh_message& message) {
    json map = {{"v", mesh_version}, {"type", type_names.at(message.index())}, {"from", from}};
    std::visit([&](const auto& body) { encode(map, body); }, message);
    std::string bytes;
    json::to_cbor(map, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

core::result<mesh_envelope> decode_message(std::string_view bytes) {
    try {
        depth_check check;
        if (!json::sax_parse(bytes.begin(), bytes.end(), &check, json::input_format_t::cbor)) {
            return malformed("it is not CBOR or nests too deep");
        }
        return decode_map(json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const std::exception& failure) {
        return malformed(failure.what());
    }
}

} // namespace figspoke::adapters
