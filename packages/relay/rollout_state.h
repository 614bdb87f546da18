#pragma once

#include <cstdint>

namespace figspoke::relay {

/// State of a roll-out as reported to operators. The last two are final.
enum class rollout_state : std::uint8_t { in_progress, completed, reverted };

} // namespace figspoke::relay
