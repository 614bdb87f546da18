#pragma once

#include <string>
#include <string_view>

#include "core/error.h"
#include "state/journal_entry.h"

namespace figspoke::state {

/// Encodes an entry as JSON text, for forwarding it to the shard's owner.
std::string encode_entry(const journal_entry& value);

/// Decodes an entry; fails with `bad_request`, naming the field.
core::result<journal_entry> decode_entry(std::string_view text);

/// Encodes an outcome as JSON text, for the reply to a forwarded entry.
std::string encode_apply_result(const apply_result& value);

/// Decodes an outcome; fails with `bad_request`, naming the field.
core::result<apply_result> decode_apply_result(std::string_view text);

} // namespace figspoke::state
