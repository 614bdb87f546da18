#include "policy/cold_limits.h"

#include <algorithm>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

// Part of the allowed requests beyond the rate that senders may save up. The rest is for requests that were
// sent before a node heard that the upstream is cold, and for nodes that know different members.
constexpr double saved_part = 0.75;
// Smallest advance of the time at which an upstream was seen down that peers need to hear of.
constexpr core::milliseconds min_down_advance{1000};
// Time for which records of warm upstreams are kept, so that one statement isn't taken for a new one.
constexpr core::milliseconds kept_when_warm{10000};

cold_record* find_or_add(cold_limits& limits, const cold_limit_settings& settings,
                         const std::string& upstream, const std::optional<cold_statement>& known) {
    const auto found = limits.upstreams.find(upstream);
    if (found != limits.upstreams.end()) {
        return &found->second;
    }
    if (settings.per_second <= 0 || limits.upstreams.size() >= settings.max_upstreams) {
        return nullptr;
    }
    auto& record = limits.upstreams[upstream];
    record.told = known;
    return &record;
}

bool is_cold(const cold_record& record, core::steady_time now) {
    return now < record.told_until || now < record.assumed_until;
}

void assume(cold_record& record, const cold_limit_settings& settings, core::steady_time at,
            core::milliseconds delay) {
    record.disproved_from = std::max(record.disproved_from, at + delay);
    record.assumed_until = std::max(record.assumed_until, at + delay + settings.cold_start);
}

// Every sender starts with nothing saved: requests that were sent before the news count too.
void begin_part(cold_record& record, core::steady_time now) {
    if (!is_cold(record, now)) {
        record.part = rate_part{};
        record.part.updated_at = now;
    }
}

} // namespace

cold_division divide_cold_rate(const cold_limit_settings& settings, std::size_t nodes) {
    if (settings.most_in_second < 1 || settings.per_second <= 0 || nodes == 0) {
        return {};
    }
    const double spare = std::max(saved_part * (settings.most_in_second - settings.per_second), 1.0);
    const auto senders = std::min(std::size_t(spare), nodes);
    const double rate = std::min(settings.per_second, settings.most_in_second - spare);
    return {senders, spare / double(senders), std::max(rate, 0.0)};
}

bool record_cold_statement(cold_limits& limits, const cold_limit_settings& settings,
                           const std::string& upstream, const cold_statement& statement,
                           core::steady_time now) {
    if (statement.cold_for <= core::milliseconds(0) && limits.upstreams.count(upstream) == 0) {
        return false;
    }
    auto* record = find_or_add(limits, settings, upstream, std::nullopt);
    if (record == nullptr) {
        return false;
    }
    const bool same_start = record->told && record->told->incarnation == statement.incarnation;
    if (same_start && record->told->cold_for == statement.cold_for) {
        return false;
    }
    const bool was_told_cold = now < record->told_until;
    const bool started = record->told && !same_start;
    begin_part(*record, now);
    record->told = statement;
    record->told_until = now + statement.cold_for;
    if (started) {
        record->assumed_until = core::steady_time::min();
    }
    return !was_told_cold && now < record->told_until;
}

bool record_down(cold_limits& limits, const cold_limit_settings& settings, const std::string& upstream,
                 const cold_statement& registered, core::steady_time at) {
    auto* record = find_or_add(limits, settings, upstream, registered);
    if (record == nullptr ||
        (record->down_at != core::steady_time::min() && at - record->down_at < min_down_advance)) {
        return false;
    }
    begin_part(*record, at);
    record->down_at = at;
    assume(*record, settings, at, settings.news_delay);
    return true;
}

void assume_cold(cold_limits& limits, const cold_limit_settings& settings, const std::string& upstream,
                 const cold_statement& registered, core::steady_time now) {
    if (auto* record = find_or_add(limits, settings, upstream, registered)) {
        begin_part(*record, now);
        assume(*record, settings, now, settings.check_in_delay);
    }
}

void confirm_running(cold_limits& limits, const std::string& upstream, core::steady_time confirmed_at) {
    const auto found = limits.upstreams.find(upstream);
    if (found != limits.upstreams.end() && confirmed_at >= found->second.disproved_from) {
        found->second.assumed_until = core::steady_time::min();
    }
}

bool is_cold(const cold_limits& limits, const std::string& upstream, core::steady_time now) {
    const auto found = limits.upstreams.find(upstream);
    return found != limits.upstreams.end() && is_cold(found->second, now);
}

core::steady_time next_cold_send(cold_limits& limits, const cold_limit_settings& settings,
                                 const std::string& upstream, const sender_place& place,
                                 core::steady_time now) {
    const auto found = limits.upstreams.find(upstream);
    if (found == limits.upstreams.end() || settings.per_second <= 0 || !is_cold(found->second, now)) {
        return now;
    }
    auto& part = found->second.part;
    const auto division = divide_cold_rate(settings, place.nodes.size());
    if (part.share_version != place.version) {
        part.share =
            division.senders == 0 ? 0 : share_of_rate(upstream, division.per_second, division.senders, place);
        part.share_version = place.version;
    }
    refill(part, division.most_saved, now);
    return next_take(part, now);
}

void count_cold_send(cold_limits& limits, const std::string& upstream) {
    if (const auto found = limits.upstreams.find(upstream); found != limits.upstreams.end()) {
        take(found->second.part);
    }
}

void uncount_cold_send(cold_limits& limits, const std::string& upstream) {
    if (const auto found = limits.upstreams.find(upstream); found != limits.upstreams.end()) {
        found->second.part.saved += 1;
    }
}

void expire_cold_limits(cold_limits& limits, core::steady_time now) {
    core::erase_where(limits.upstreams, [&](const cold_record& record, const std::string&) {
        return !is_cold(record, now - kept_when_warm);
    });
}

} // namespace figspoke::policy
