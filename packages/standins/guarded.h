#pragma once

#include <mutex>
#include <utility>

namespace figspoke::standins {

/// A value that several threads share. A callback must not suspend or take another lock.
template <class T>
class guarded {
  public:
    guarded() = default;
    explicit guarded(T value) : value_(std::move(value)) {}

    /// Runs the callback on the value under the lock and returns its result.
    template <class F>
    auto with(F&& callback) {
        const std::lock_guard lock(mutex_);
        return std::forward<F>(callback)(value_);
    }

    /// Returns a copy of the value.
    T copy() {
        const std::lock_guard lock(mutex_);
        return value_;
    }

  private:
    std::mutex mutex_;
    T value_;
};

} // namespace figspoke::standins
