#pragma once

#include <chrono>
#include <functional>

namespace figspoke::core {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

/// A point on this machine's steady clock. It is never compared with another machine's.
using steady_time = std::chrono::steady_clock::time_point;

/// Returns the current steady time. Tests inject their own.
using steady_clock_fn = std::function<steady_time()>;

/// Converts a duration to seconds as a floating-point number, for rates.
template <class Rep, class Period>
constexpr double to_seconds(std::chrono::duration<Rep, Period> duration) {
    return std::chrono::duration<double>(duration).count();
}

/// Converts a duration to whole milliseconds.
template <class Rep, class Period>
constexpr milliseconds to_ms(std::chrono::duration<Rep, Period> duration) {
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace figspoke::core
