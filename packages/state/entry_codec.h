#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "state/journal_entry.h"

namespace figspoke::state {

/// Encodes an entry as JSON text, to be forwarded to the shard's owner.
std::string encode_entry(const journal_entry& value);

/// Decodes an entry; fails with `bad_request` and names the invalid field.
core::result<journal_entry> decode_entry(std::string_view text);

/// Encodes the result of applying a forwarded entry as JSON text.
std::string encode_apply_result(const apply_result& value);

/// Decodes the result of a forwarded entry; fails with `bad_request` and names the invalid field.
core::result<apply_result> decode_apply_result(std::string_view text);

} // namespace figspoke::state
