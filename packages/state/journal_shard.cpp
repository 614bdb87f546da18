#include "state/journal_shard.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "state/journal_codec.h"

namespace figspoke::state {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint64_t format_version = 1;

json encode_order(const order_record& value) {
    return json::array({latin1_to_utf8(value.account), latin1_to_utf8(value.body_sha256),
                        latin1_to_utf8(value.request_id), latin1_to_utf8(value.claimant),
                        static_cast<unsigned>(value.state), value.status, latin1_to_utf8(value.body),
                        value.body_dropped ? 1U : 0U, value.changed_at.count()});
}

order_record decode_order(const json& value, const std::string& path) {
    auto reader = read_array(value, path);
    order_record decoded;
    decoded.account = read_text(reader, "account");
    decoded.body_sha256 = read_text(reader, "body_sha256");
    decoded.request_id = read_text(reader, "request_id");
    decoded.claimant = read_text(reader, "claimant");
    const std::uint64_t state = read_unsigned(reader, "state");
    if (state > static_cast<std::uint64_t>(order_state::unknown)) {
        throw_field_error(path + ".state", "is not a known state");
    }
    decoded.state = static_cast<order_state>(state);
    decoded.status = static_cast<int>(read_integer(reader, "status"));
    decoded.body = read_text(reader, "body");
    decoded.body_dropped = read_flag(reader, "body_dropped");
    decoded.changed_at = milliseconds(read_integer(reader, "changed_at"));
    return decoded;
}

json encode_progress(const writer_progress& value) {
    json encoded = json::array({value.contiguous, value.changed_at.count()});
    for (const auto& [first, last] : value.beyond) {
        encoded.push_back(json::array({first, last}));
    }
    return encoded;
}

writer_progress decode_progress(const json& value, const std::string& path) {
    auto reader = read_array(value, path);
    writer_progress decoded;
    decoded.contiguous = read_unsigned(reader, "contiguous");
    decoded.changed_at = milliseconds(read_integer(reader, "changed_at"));
    for (std::size_t i = 2; i < value.size(); ++i) {
        auto range = read_array(read_item(reader, "beyond"), path + ".beyond");
        const std::uint64_t first = read_unsigned(range, "first");
        decoded.beyond.emplace_back(first, read_unsigned(range, "last"));
    }
    return decoded;
}

json encode_total(const account_total& value) {
    return json::array(
        {value.charges, value.micros, value.internal_micros, value.prompt_tokens, value.generated_tokens});
}

account_total decode_total(const json& value, const std::string& path) {
    auto reader = read_array(value, path);
    account_total decoded;
    decoded.charges = read_integer(reader, "charges");
    decoded.micros = read_integer(reader, "micros");
    decoded.internal_micros = read_integer(reader, "internal_micros");
    decoded.prompt_tokens = read_integer(reader, "prompt_tokens");
    decoded.generated_tokens = read_integer(reader, "generated_tokens");
    return decoded;
}

milliseconds decode_clock_time(const json& value, const std::string& path) {
    if (!value.is_number_integer()) {
        throw_field_error(path, "is not an integer");
    }
    return milliseconds(value.get<std::int64_t>());
}

const json& required_member(const json& source, const char* field) {
    const auto found = source.find(field);
    if (found == source.end()) {
        throw_field_error(field, "is missing");
    }
    return *found;
}

template <class T, class Decode>
std::map<std::string, T> decode_map(const json& source, const char* field, Decode decode) {
    const json& entries = required_member(source, field);
    if (!entries.is_object()) {
        throw_field_error(field, "is not an object");
    }
    std::map<std::string, T> decoded;
    for (const auto& [name, value] : entries.items()) {
        decoded.emplace_hint(decoded.end(), utf8_to_latin1(name),
                             decode(value, std::string(field) + "." + name));
    }
    return decoded;
}

template <class T, class Encode>
json encode_map(const std::map<std::string, T>& entries, Encode encode) {
    json encoded = json::object();
    for (const auto& [name, value] : entries) {
        encoded.emplace(latin1_to_utf8(name), encode(value));
    }
    return encoded;
}

void decode_head(const json& source, journal_shard& decoded) {
    auto reader = read_array(required_member(source, "head"), "head");
    decoded.epoch = read_unsigned(reader, "epoch");
    decoded.owner = read_text(reader, "owner");
    decoded.clock = milliseconds(read_integer(reader, "clock_ms"));
    decoded.next_page = read_unsigned(reader, "next_page");
    const json& batch_ids = read_item(reader, "batches");
    auto ids = read_array(batch_ids, "head.batches");
    for (std::size_t i = 0; i < batch_ids.size(); ++i) {
        decoded.batch_ids.push_back(read_text(ids, "id"));
    }
}

json encode_head(const journal_shard& value) {
    json batch_ids = json::array();
    for (const auto& id : value.batch_ids) {
        batch_ids.push_back(latin1_to_utf8(id));
    }
    return json::array({value.epoch, latin1_to_utf8(value.owner), value.clock.count(), value.next_page,
                        std::move(batch_ids)});
}

journal_shard decode_fields(const json& source) {
    if (!source.is_object()) {
        throw std::invalid_argument("the value is not an object");
    }
    if (required_member(source, "v") != format_version) {
        throw_field_error("v", "is not 1");
    }
    journal_shard decoded;
    decode_head(source, decoded);
    decoded.orders = decode_map<order_record>(source, "orders", decode_order);
    decoded.writers = decode_map<writer_progress>(source, "writers", decode_progress);
    decoded.totals = decode_map<account_total>(source, "totals", decode_total);
    decoded.charged_keys = decode_map<milliseconds>(source, "charged_keys", decode_clock_time);
    const json& charges = required_member(source, "charges");
    auto reader = read_array(charges, "charges");
    decoded.charges.reserve(charges.size());
    for (std::size_t i = 0; i < charges.size(); ++i) {
        decoded.charges.push_back(
            decode_charge(read_item(reader, "charge"), "charges[" + std::to_string(i) + "]"));
    }
    return decoded;
}

} // namespace

std::string encode_shard(const journal_shard& value) {
    json charges = json::array();
    for (const auto& entry : value.charges) {
        charges.push_back(encode_charge(entry));
    }
    json encoded = json::object();
    encoded["v"] = format_version;
    encoded["head"] = encode_head(value);
    encoded["orders"] = encode_map(value.orders, encode_order);
    encoded["charges"] = std::move(charges);
    encoded["writers"] = encode_map(value.writers, encode_progress);
    encoded["totals"] = encode_map(value.totals, encode_total);
    encoded["charged_keys"] =
        encode_map(value.charged_keys, [](milliseconds at) { return json(at.count()); });
    return encoded.dump();
}

core::result<journal_shard> decode_shard(std::string_view text) {
    try {
        return decode_fields(json::parse(text));
    } catch (const json::exception& failure) {
        return core::fail(core::error_kind::internal,
                          std::string("journal shard is not valid JSON: ") + failure.what());
    } catch (const std::invalid_argument& failure) {
        return core::fail(core::error_kind::internal, std::string("journal shard: ") + failure.what());
    }
}

} // namespace figspoke::state
