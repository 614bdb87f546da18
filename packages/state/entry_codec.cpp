#include "state/entry_codec.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

#include "state/journal_codec.h"

namespace figspoke::state {
namespace {

using nlohmann::json;

json encode_fields(const order_claim& value) {
    return json::array({"claim", latin1_to_utf8(value.order_id), latin1_to_utf8(value.account),
                        latin1_to_utf8(value.body_sha256), latin1_to_utf8(value.request_id),
                        latin1_to_utf8(value.claimant)});
}

json encode_fields(const order_result& value) {
    return json::array({"result", latin1_to_utf8(value.order_id), latin1_to_utf8(value.account),
                        latin1_to_utf8(value.body_sha256), latin1_to_utf8(value.request_id),
                        latin1_to_utf8(value.claimant), static_cast<unsigned>(value.state), value.status,
                        latin1_to_utf8(value.body)});
}

json encode_fields(const charge& value) {
    return json::array({"charge", encode_charge(value)});
}

order_claim decode_claim(array_reader& reader) {
    order_claim decoded;
    decoded.order_id = read_text(reader, "order_id");
    decoded.account = read_text(reader, "account");
    decoded.body_sha256 = read_text(reader, "body_sha256");
    decoded.request_id = read_text(reader, "request_id");
    decoded.claimant = read_text(reader, "claimant");
    return decoded;
}

order_result decode_result(array_reader& reader) {
    order_result decoded;
    decoded.order_id = read_text(reader, "order_id");
    decoded.account = read_text(reader, "account");
    decoded.body_sha256 = read_text(reader, "body_sha256");
    decoded.request_id = read_text(reader, "request_id");
    decoded.claimant = read_text(reader, "claimant");
    const std::uint64_t state = read_unsigned(reader, "state");
    if (state == static_cast<std::uint64_t>(order_state::claimed) ||
        state > static_cast<std::uint64_t>(order_state::unknown)) {
        throw_field_error("entry.state", "is not the state of a finished order");
    }
    decoded.state = static_cast<order_state>(state);
    decoded.status = static_cast<int>(read_integer(reader, "status"));
    decoded.body = read_text(reader, "body");
    return decoded;
}

journal_entry decode_entry_fields(const json& source) {
    auto reader = read_array(source, "entry");
    const std::string type = read_text(reader, "type");
    if (type == "claim") {
        return decode_claim(reader);
    }
    if (type == "result") {
        return decode_result(reader);
    }
    if (type != "charge") {
        throw_field_error("entry.type", "is not claim, result or charge");
    }
    charge decoded = decode_charge(read_item(reader, "charge"), "entry.charge");
    if (decoded.sequence == 0) {
        throw_field_error("entry.charge.sequence", "is not positive");
    }
    return decoded;
}

apply_result decode_result_fields(const json& source) {
    auto reader = read_array(source, "outcome");
    apply_result decoded;
    const std::uint64_t outcome = read_unsigned(reader, "outcome");
    if (outcome > static_cast<std::uint64_t>(entry_outcome::sequence_gap)) {
        throw_field_error("outcome.outcome", "is not a known outcome");
    }
    decoded.outcome = static_cast<entry_outcome>(outcome);
    decoded.status = static_cast<int>(read_integer(reader, "status"));
    decoded.body = read_text(reader, "body");
    decoded.body_dropped = read_flag(reader, "body_dropped");
    return decoded;
}

template <class T, class Decode>
core::result<T> decode_json(std::string_view text, const char* subject, Decode decode) {
    try {
        return decode(json::parse(text));
    } catch (const json::exception& failure) {
        return core::fail(core::error_kind::bad_request,
                          std::string(subject) + " is not valid JSON: " + failure.what());
    } catch (const std::invalid_argument& failure) {
        return core::fail(core::error_kind::bad_request, std::string(subject) + ": " + failure.what());
    }
}

} // namespace

std::string encode_entry(const journal_entry& value) {
    return std::visit([](const auto& entry) { return encode_fields(entry).dump(); }, value);
}

core::result<journal_entry> decode_entry(std::string_view text) {
    return decode_json<journal_entry>(text, "journal entry", decode_entry_fields);
}

std::string encode_apply_result(const apply_result& value) {
    return json::array({static_cast<unsigned>(value.outcome), value.status, latin1_to_utf8(value.body),
                        value.body_dropped ? 1U : 0U})
        .dump();
}

core::result<apply_result> decode_apply_result(std::string_view text) {
    return decode_json<apply_result>(text, "journal outcome", decode_result_fields);
}

} // namespace figspoke::state
