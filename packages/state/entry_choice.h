#pragma once

#include <map>
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

/// Returns the members in the region of the caller's failure domain, or all if none of them is there or the
/// region isn't known. Answers callers of a deployment with several regions, whose requests may not leave
/// theirs.
std::vector<const member_entry*> members_near(const std::vector<const member_entry*>& serving,
                                              const std::map<std::string, std::string>& regions,
                                              const std::string& caller_domain);

} // namespace figspoke::state
