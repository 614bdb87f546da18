#include "policy/named_limits.h"

#include <algorithm>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

bool is_expired(const named_limit_settings& settings, const limit_statement& statement,
                core::steady_time now) {
    return now - statement.stated_at > settings.lifetime;
}

} // namespace

bool record_limit(named_limits& limits, const named_limit_settings& settings, const std::string& upstream,
                  const limit_statement& statement) {
    auto found = limits.upstreams.find(upstream);
    if (found == limits.upstreams.end()) {
        if (!statement.per_second || limits.upstreams.size() >= settings.max_upstreams) {
            return false;
        }
        limits.upstreams[upstream] = {statement, {0, statement.stated_at, 0, std::nullopt}};
        return true;
    }
    auto& known = found->second.statement;
    if (statement.stated_at <= known.stated_at) {
        return false;
    }
    const bool changed = known.per_second != statement.per_second;
    known = statement;
    if (changed) {
        found->second.part.share_version.reset();
    }
    return changed;
}

double limit_share(const named_limit_settings& settings, const std::string& upstream, double per_second,
                   const sender_place& place) {
    return share_of_rate(upstream, per_second, std::size_t(per_second) + settings.spare_senders, place);
}

core::steady_time next_send_within_limit(named_limits& limits, const named_limit_settings& settings,
                                         const std::string& upstream, const sender_place& place,
                                         core::steady_time now) {
    const auto found = limits.upstreams.find(upstream);
    if (found == limits.upstreams.end() || !found->second.statement.per_second ||
        is_expired(settings, found->second.statement, now)) {
        return now;
    }
    auto& entry = found->second;
    if (entry.part.share_version != place.version) {
        entry.part.share = limit_share(settings, upstream, *entry.statement.per_second, place);
        entry.part.share_version = place.version;
    }
    refill(entry.part, 1 + entry.part.share * core::to_seconds(settings.saved_time), now);
    return next_take(entry.part, now);
}

bool may_send_within_limit(named_limits& limits, const named_limit_settings& settings,
                           const std::string& upstream, const sender_place& place, core::steady_time now) {
    return next_send_within_limit(limits, settings, upstream, place, now) <= now;
}

void count_send(named_limits& limits, const std::string& upstream) {
    const auto found = limits.upstreams.find(upstream);
    if (found != limits.upstreams.end()) {
        take(found->second.part);
    }
}

void expire_limits(named_limits& limits, const named_limit_settings& settings, core::steady_time now) {
    core::erase_where(limits.upstreams, [&](const named_limits::entry& entry, const std::string&) {
        return is_expired(settings, entry.statement, now);
    });
}

} // namespace figspoke::policy
