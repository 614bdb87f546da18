#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// How long a caller may use the addresses from an answer of `/v1/entry`.
inline constexpr core::milliseconds entry_validity{2000};

/// Returns up to `count` HTTP addresses among the serving members for a caller, best first. They are spread
/// over failure domains, lightly loaded members come first, and the same caller gets the same addresses while
/// the members and their load classes don't change.
std::vector<std::string> choose_entry_addresses(const std::vector<const member_entry*>& serving,
                                                std::string_view caller, std::size_t count);

} // namespace figspoke::state
