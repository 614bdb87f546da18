#pragma once

#include <map>
#include <string>

#include "core/byte_codec.h"
#include "policy/upstream_use.h"

namespace figspoke::relay {

/// Appends an age in milliseconds; negative ages are appended as zero.
void append_age(std::string& out, core::milliseconds age);

/// Reads an age. Ages that no node can report make the reader invalid.
core::milliseconds read_age(core::byte_reader& reader);

/// Appends a node's use of an upstream. Pending times are rounded to tenths of a millisecond.
void append_use(std::string& out, const policy::upstream_use& use);

policy::upstream_use read_use(core::byte_reader& reader);

/// Appends uses by upstream, with their number.
void append_uses(std::string& out, const std::map<std::string, policy::upstream_use>& uses);

std::map<std::string, policy::upstream_use> read_uses(core::byte_reader& reader);

} // namespace figspoke::relay
