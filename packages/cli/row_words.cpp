#include "cli/row_words.h"

#include <algorithm>

#include "core/hash.h"
#include "core/schema.h"
#include "core/settings.h"

namespace figspoke::cli {
namespace {

using core::error_kind;

bool is_column(const std::string& kind, const std::string& name) {
    const auto& schemas = core::row_schemas();
    const auto schema =
        std::find_if(schemas.begin(), schemas.end(), [&](const auto& item) { return item.kind == kind; });
    // An unknown kind is told by the row's check.
    return schema == schemas.end() || std::any_of(schema->columns.begin(), schema->columns.end(),
                                                  [&](const auto& column) { return column.name == name; });
}

tl::unexpected<core::error> unknown_column(const std::string& kind, const std::string& name) {
    std::string message = "column \"";
    message += name;
    message += "\" does not exist in rows of kind \"";
    message += kind;
    message += "\"";
    return core::fail(error_kind::bad_request, message);
}

core::result<std::string> hash_key_file(const std::string& path) {
    auto key = core::read_secret(path);
    if (!key) {
        return tl::make_unexpected(key.error());
    }
    return core::sha256_hex(*key);
}

} // namespace

core::result<core::row_key> parse_row_key(const std::string& word) {
    const auto slash = word.find('/');
    if (slash == std::string::npos || slash == 0 || slash + 1 == word.size()) {
        return core::fail(error_kind::bad_request,
                          "\"" + word + "\" is not a row; accepted is KIND/NAME, such as account/acme");
    }
    return core::row_key{word.substr(0, slash), word.substr(slash + 1)};
}

core::result<std::map<std::string, std::string>> parse_columns(const std::string& kind, const words& given) {
    std::map<std::string, std::string> columns;
    for (std::size_t i = 1; i < given.size(); ++i) {
        const auto equals = given[i].find('=');
        if (equals == std::string::npos || equals == 0) {
            return core::fail(error_kind::bad_request,
                              "\"" + given[i] + "\" is not accepted; accepted is COLUMN=VALUE");
        }
        std::string name = given[i].substr(0, equals);
        std::string value = given[i].substr(equals + 1);
        if (kind == "account" && name == "key") {
            return core::fail(error_kind::bad_request, "column \"key\" is not accepted: a key on the command "
                                                       "line is seen by others; give key_file=PATH");
        }
        if (kind == "account" && name == "key_file") {
            auto hashed = hash_key_file(value);
            if (!hashed) {
                return tl::make_unexpected(hashed.error());
            }
            name = "key_sha256";
            value = std::move(*hashed);
        }
        if (!is_column(kind, name)) {
            return unknown_column(kind, name);
        }
        columns[name] = value;
    }
    return columns;
}

std::string to_string(const core::row_key& key) {
    return key.kind + "/" + key.name;
}

} // namespace figspoke::cli
