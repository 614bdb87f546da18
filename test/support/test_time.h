#pragma once

#include <chrono>

#include "core/time.h"

namespace figspoke::test {

/// A moment so many milliseconds after the start of a test. The start lies past zero, so that times before it
/// can be told from the empty time.
inline core::steady_time at(int ms) {
    return core::steady_time(std::chrono::hours(1) + core::milliseconds(ms));
}

} // namespace figspoke::test
