#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"

namespace figspoke::policy {

/// A token bucket that starts empty and holds at most `rate * depth` tokens.
struct token_bucket {
    /// Tokens per second.
    double rate = 0;
    /// Time in which an empty bucket fills; its capacity is `rate * depth`.
    std::chrono::nanoseconds depth{std::chrono::seconds(1)};
    double level = 0;
    core::steady_time updated_at{};
};

/// Adds the tokens accrued up to `now`. A time before the last update changes nothing.
void refill(token_bucket& bucket, core::steady_time now);

/// Changes the rate from `now` on. Tokens above the new capacity are lost.
void set_rate(token_bucket& bucket, double rate, core::steady_time now);

/// Takes `amount` tokens. Returns false and takes none if the bucket holds fewer.
bool try_take(token_bucket& bucket, double amount, core::steady_time now);

/// Returns tokens that were taken but not used, up to the capacity of the bucket.
void refund(token_bucket& bucket, double amount, core::steady_time now);

/// Returns the time until the bucket holds `amount` tokens at its current rate; empty if its capacity is
/// smaller.
std::optional<std::chrono::milliseconds> time_until(const token_bucket& bucket, double amount);

} // namespace figspoke::policy
