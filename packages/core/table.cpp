#include "core/table.h"

#include <tuple>

#include <nlohmann/json.hpp>

namespace figspoke::core {
namespace {

using nlohmann::json;

json encode_row(const row& value) {
    return {{"kind", value.key.kind},
            {"name", value.key.name},
            {"revision", value.revision},
            {"columns", value.columns}};
}

row decode_row(const json& value) {
    row decoded;
    decoded.key.kind = value.at("kind").get<std::string>();
    decoded.key.name = value.at("name").get<std::string>();
    decoded.revision = value.at("revision").get<std::uint64_t>();
    decoded.columns = value.at("columns").get<std::map<std::string, std::string>>();
    return decoded;
}

json encode_change(const table_change& value) {
    return {{"revision", value.revision}, {"kind", value.key.kind}, {"name", value.key.name},
            {"action", value.action},     {"author", value.author}, {"edit_id", value.edit_id}};
}

table_change decode_change(const json& value) {
    table_change decoded;
    decoded.revision = value.at("revision").get<std::uint64_t>();
    decoded.key.kind = value.at("kind").get<std::string>();
    decoded.key.name = value.at("name").get<std::string>();
    decoded.action = value.at("action").get<std::string>();
    decoded.author = value.at("author").get<std::string>();
    decoded.edit_id = value.value("edit_id", std::string());
    return decoded;
}

} // namespace

bool operator<(const row_key& a, const row_key& b) {
    return std::tie(a.kind, a.name) < std::tie(b.kind, b.name);
}

bool operator==(const row_key& a, const row_key& b) {
    return std::tie(a.kind, a.name) == std::tie(b.kind, b.name);
}

std::string encode_table(const table& value) {
    json encoded = {{"revision", value.revision}, {"rows", json::array()}, {"log", json::array()}};
    for (const auto& [key, entry] : value.rows) {
        encoded["rows"].push_back(encode_row(entry));
    }
    for (const auto& change : value.log) {
        encoded["log"].push_back(encode_change(change));
    }
    return encoded.dump();
}

result<table> decode_table(std::string_view text) {
    try {
        const json parsed = json::parse(text);
        table decoded;
        decoded.revision = parsed.at("revision").get<std::uint64_t>();
        for (const auto& entry : parsed.at("rows")) {
            row value = decode_row(entry);
            decoded.rows.emplace(value.key, value);
        }
        for (const auto& entry : parsed.at("log")) {
            decoded.log.push_back(decode_change(entry));
        }
        return decoded;
    } catch (const json::exception& failure) {
        return fail(error_kind::bad_request,
                    std::string("configuration table is malformed: ") + failure.what());
    }
}

} // namespace figspoke::core
