#pragma once

#include <chrono>
#include <optional>

#include "core/time.h"

namespace figspoke::policy {

/// A token bucket that starts empty and holds at most `rate * depth` tokens.
struct token_bucket {
    /// Tokens a second.
    double rate = 0;
    std::chrono::nanoseconds depth{std::chrono::seconds(1)};
    double level = 0;
    core::steady_time updated{};
};

/// Adds the tokens that accrued up to `now`. An earlier time changes nothing.
void refill(token_bucket& bucket, core::steady_time now);

/// Changes the rate from `now` on. Tokens above the new size are lost.
void set_rate(token_bucket& bucket, double rate, core::steady_time now);

/// Takes the amount if the bucket holds it; false without a change otherwise.
bool try_take(token_bucket& bucket, double amount, core::steady_time now);

/// Returns tokens that were taken and not used, up to the size of the bucket.
void give_back(token_bucket& bucket, double amount, core::steady_time now);

/// Returns the time until the bucket holds the amount at its present rate; empty where it never will.
std::optional<std::chrono::milliseconds> time_until(const token_bucket& bucket, double amount);

} // namespace figspoke::policy
