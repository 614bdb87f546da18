#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"
#include "state/membership.h"

namespace figspoke::state {

/// How long a caller may use the answer of `/v1/entry`.
inline constexpr core::milliseconds entry_validity{2000};

/// Returns up to `count` HTTP addresses of live, serving members for a caller, best first: spread over
/// failure domains, lightly loaded ones first, and the same for the same caller while members and load
/// classes stay.
std::vector<std::string> choose_entries(const std::vector<const member_entry*>& serving,
                                        std::string_view caller, std::size_t count);

} // namespace figspoke::state
