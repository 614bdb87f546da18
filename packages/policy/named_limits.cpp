#include "policy/named_limits.h"

#include <algorithm>

#include "core/erase_where.h"
#include "core/hash.h"

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
        limits.upstreams[upstream] = {statement, 0, statement.stated_at, 0, std::nullopt};
        return true;
    }
    auto& known = found->second.statement;
    if (statement.stated_at <= known.stated_at) {
        return false;
    }
    const bool changed = known.per_second != statement.per_second;
    known = statement;
    if (changed) {
        found->second.share_version.reset();
    }
    return changed;
}

double limit_share(const named_limit_settings& settings, const std::string& upstream, double per_second,
                   const sender_place& place) {
    const auto senders = std::min(std::size_t(per_second) + settings.spare_senders, place.nodes.size());
    if (senders <= 1 && place.nodes.size() <= 1) {
        return per_second;
    }
    const auto ordered = core::rendezvous_order(upstream, place.nodes);
    const auto position = std::find(ordered.begin(), ordered.end(), place.self) - ordered.begin();
    return std::size_t(position) < senders ? per_second / double(senders) : 0;
}

bool may_send_within_limit(named_limits& limits, const named_limit_settings& settings,
                           const std::string& upstream, const sender_place& place, core::steady_time now) {
    const auto found = limits.upstreams.find(upstream);
    if (found == limits.upstreams.end() || !found->second.statement.per_second ||
        is_expired(settings, found->second.statement, now)) {
        return true;
    }
    auto& entry = found->second;
    if (entry.share_version != place.version) {
        entry.share = limit_share(settings, upstream, *entry.statement.per_second, place);
        entry.share_version = place.version;
    }
    if (now > entry.updated_at) {
        entry.saved += entry.share * core::to_seconds(now - entry.updated_at);
        entry.saved = std::min(entry.saved, 1 + entry.share * core::to_seconds(settings.saved_time));
        entry.updated_at = now;
    }
    return entry.share > 0 && entry.saved >= 1;
}

void count_send(named_limits& limits, const std::string& upstream) {
    const auto found = limits.upstreams.find(upstream);
    if (found != limits.upstreams.end()) {
        found->second.saved = std::max(found->second.saved - 1, 0.0);
    }
}

void expire_limits(named_limits& limits, const named_limit_settings& settings, core::steady_time now) {
    core::erase_where(limits.upstreams, [&](const named_limits::entry& entry, const std::string&) {
        return is_expired(settings, entry.statement, now);
    });
}

} // namespace figspoke::policy
