#pragma once

#include <string_view>

namespace figspoke::core {

/// Returns whether a line of an HTTP head begins with a blank, so that it continues the field of the line
/// before it. `received` is the head, or a part of it, and may go on with bytes of the body.
bool has_folded_line(std::string_view received);

} // namespace figspoke::core
