#include "standins/platform_state.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"

namespace figspoke::standins {
namespace {

double draw(std::uint64_t seed, const std::string& purpose, const std::string& id) {
    const auto digest = core::sha256_hex(std::to_string(seed) + "/" + purpose + "/" + id).substr(0, 12);
    return static_cast<double>(std::stoull(digest, nullptr, 16)) / static_cast<double>(1ULL << 48U);
}

} // namespace

void set_vms(vm_history& history, std::vector<vm_entry> vms, core::steady_time visible_at) {
    history.lists.emplace_back(visible_at, std::move(vms));
}

std::vector<vm_entry> visible_vms(vm_history& history, core::steady_time now) {
    while (history.lists.size() > 1 && history.lists[1].first <= now) {
        history.lists.pop_front();
    }
    if (history.lists.empty() || history.lists.front().first > now) {
        return {};
    }
    return history.lists.front().second;
}

core::milliseconds take_load(weight_bucket& bucket, double loads_per_minute, core::steady_time now) {
    const double capacity = std::max(1.0, loads_per_minute / 6);
    const double per_second = std::max(loads_per_minute, 0.001) / 60;
    const double elapsed = bucket.refilled ? core::to_seconds(now - *bucket.refilled) : 0;
    bucket.tokens = bucket.refilled ? std::min(capacity, bucket.tokens + elapsed * per_second) : capacity;
    bucket.refilled = now;
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return core::milliseconds(0);
    }
    return core::milliseconds(static_cast<std::int64_t>(std::ceil((1 - bucket.tokens) / per_second * 1000)));
}

std::optional<rating> rate(const rating_rules& rules, const rating_request& request) {
    if (draw(rules.seed, "sample", request.request_id) >= rules.sample) {
        return std::nullopt;
    }
    const auto found = rules.pass_rate.find(request.version);
    const double pass_rate = found == rules.pass_rate.end() ? 1 : found->second;
    rating result;
    result.request_id = request.request_id;
    result.version = request.version;
    result.task = request.task;
    // The engine stand-in marks the tokens of a wrong answer.
    result.passed = request.answer.find("wrong") == std::string::npos &&
                    draw(rules.seed, "pass", request.version + "/" + request.request_id) < pass_rate;
    return result;
}

} // namespace figspoke::standins
