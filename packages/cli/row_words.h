#pragma once

#include <map>
#include <string>

#include "cli/options.h"
#include "core/error.h"
#include "core/table.h"

namespace figspoke::cli {

/// Reads `kind/name`; fails with `bad_request`, naming the word.
core::result<core::row_key> parse_row_key(const std::string& word);

/// Reads `column=value` words from the second on. `key_file=PATH` of an account becomes `key_sha256` of the
/// file's content; a key in clear is refused. Fails with `bad_request`, naming the word.
core::result<std::map<std::string, std::string>> parse_columns(const std::string& kind, const words& given);

/// Returns `kind/name`.
std::string to_string(const core::row_key& key);

} // namespace figspoke::cli
