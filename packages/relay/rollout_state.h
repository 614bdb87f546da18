#pragma once

#include <cstdint>

namespace figspoke::relay {

/// Progress of a roll-out as operators see it. The last two are final.
enum class rollout_state : std::uint8_t { in_progress, completed, reverted };

} // namespace figspoke::relay
