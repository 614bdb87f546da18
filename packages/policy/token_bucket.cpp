#include "policy/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace figspoke::policy {
namespace {

double capacity_of(const token_bucket& bucket) {
    return bucket.rate * core::to_seconds(bucket.depth);
}

} // namespace

void refill(token_bucket& bucket, core::steady_time now) {
    if (now <= bucket.updated_at) {
        return;
    }
    const double added = bucket.rate * core::to_seconds(now - bucket.updated_at);
    bucket.level = std::min(bucket.level + added, capacity_of(bucket));
    bucket.updated_at = now;
}

// The level is limited to the new capacity, so that the sum of the levels of all buckets never exceeds the
// sum of their rates times the depth, however often rate moves between them.
void set_rate(token_bucket& bucket, double rate, core::steady_time now) {
    refill(bucket, now);
    bucket.rate = std::max(0.0, rate);
    bucket.level = std::min(bucket.level, capacity_of(bucket));
}

bool try_take(token_bucket& bucket, double amount, core::steady_time now) {
    refill(bucket, now);
    if (bucket.level < amount) {
        return false;
    }
    bucket.level -= amount;
    return true;
}

void refund(token_bucket& bucket, double amount, core::steady_time now) {
    refill(bucket, now);
    bucket.level = std::min(bucket.level + std::max(0.0, amount), capacity_of(bucket));
}

std::optional<std::chrono::milliseconds> time_until(const token_bucket& bucket, double amount) {
    if (bucket.level >= amount) {
        return std::chrono::milliseconds(0);
    }
    if (amount > capacity_of(bucket)) {
        return std::nullopt;
    }
    const double wait_s = (amount - bucket.level) / bucket.rate;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(wait_s * 1000)));
}

} // namespace figspoke::policy
