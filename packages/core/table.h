#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/error.h"

namespace figspoke::core {

/// Identifies a row: its kind (`account`, `version`, `upstream`, `service`, `priority`) and name.
struct row_key {
    std::string kind;
    std::string name;
};

bool operator<(const row_key& a, const row_key& b);
bool operator==(const row_key& a, const row_key& b);

/// One row of the configuration table. `revision` is the table revision that last changed the row.
struct row {
    row_key key;
    std::uint64_t revision = 0;
    std::map<std::string, std::string> columns;
};

/// One entry of the table's change log.
struct table_change {
    std::uint64_t revision = 0;
    row_key key;
    /// `set` or `rm`.
    std::string action;
    std::string author;
    /// Unique for each edit.
    std::string edit_id;
};

/// The operators' configuration table: one value of the key-value service.
struct table {
    std::uint64_t revision = 0;
    std::map<row_key, row> rows;
    /// The most recent changes, oldest first.
    std::vector<table_change> log;
};

/// The number of changes that the table's log keeps.
inline constexpr std::size_t max_table_log = 200;

/// Encodes a table as JSON, the form in which the key-value service holds it.
std::string encode_table(const table& value);

/// Decodes a table from JSON; fails with `bad_request`, naming the field.
result<table> decode_table(std::string_view text);

} // namespace figspoke::core
