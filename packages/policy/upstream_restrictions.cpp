#include "policy/upstream_restrictions.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::policy {
namespace {

// Part of the asked silence within which the nodes return, one after the other.
constexpr double return_spread = 0.25;
constexpr std::uint64_t spread_steps = 1000;

void remove_longest_unknown(upstream_notices& notices) {
    notices.upstreams.erase(
        std::min_element(notices.upstreams.begin(), notices.upstreams.end(),
                         [](const auto& a, const auto& b) { return a.second.known_at < b.second.known_at; }));
}

upstream_notice& find_or_add(upstream_notices& notices, const std::string& upstream, std::int64_t incarnation,
                             core::steady_time now) {
    if (notices.upstreams.count(upstream) == 0 && notices.upstreams.size() >= max_upstream_notices) {
        remove_longest_unknown(notices);
    }
    auto& notice = notices.upstreams[upstream];
    if (notice.incarnation != incarnation) {
        notice = upstream_notice{};
        notice.incarnation = incarnation;
    }
    notice.known_at = now;
    return notice;
}

bool contains(const std::vector<std::string>& regions, const std::string& region) {
    return regions.empty() || std::find(regions.begin(), regions.end(), region) != regions.end();
}

} // namespace

bool record_leaving(upstream_notices& notices, const std::string& upstream, std::int64_t incarnation,
                    core::steady_time now) {
    auto& notice = find_or_add(notices, upstream, incarnation, now);
    if (notice.leaving_since) {
        return false;
    }
    notice.leaving_since = now;
    return true;
}

void record_quiet(upstream_notices& notices, const std::string& upstream, std::int64_t incarnation,
                  core::milliseconds quiet_for, std::string_view node, core::steady_time now) {
    auto& notice = find_or_add(notices, upstream, incarnation, now);
    const auto place = core::stable_hash(std::string(node) + '/' + upstream) % spread_steps;
    const double factor = 1 + return_spread * double(place) / double(spread_steps);
    const auto end = now + core::milliseconds(std::int64_t(double(quiet_for.count()) * factor));
    notice.quiet_until = std::max(notice.quiet_until, end);
}

const upstream_notice* find_notice(const upstream_notices& notices, const std::string& upstream,
                                   std::int64_t incarnation) {
    const auto found = notices.upstreams.find(upstream);
    return found != notices.upstreams.end() && found->second.incarnation == incarnation ? &found->second
                                                                                        : nullptr;
}

bool is_allowed_region(const std::string& region, const std::vector<std::string>& of_route,
                       const std::vector<std::string>& of_account) {
    return contains(of_route, region) && contains(of_account, region);
}

restriction_verdict restriction_of(const restriction_input& input, core::milliseconds drain,
                                   core::steady_time now) {
    if (input.draining) {
        return {restriction::draining};
    }
    if (!input.allowed_region) {
        return {restriction::wrong_region};
    }
    if (input.evacuated) {
        return {restriction::evacuated};
    }
    const auto* notice = input.notice;
    const bool leaving = notice != nullptr && notice->leaving_since.has_value();
    if (leaving && now - *notice->leaving_since >= drain / 2) {
        return {restriction::leaving};
    }
    if (notice != nullptr && now < notice->quiet_until) {
        return {restriction::quiet, notice->quiet_until};
    }
    if (input.cold_send_at > now) {
        return {restriction::cold_limit, input.cold_send_at};
    }
    if (input.named_send_at > now) {
        return {restriction::named_limit, input.named_send_at};
    }
    return {restriction::none, now, leaving};
}

std::optional<restriction_verdict> first_to_end(const std::vector<restriction_verdict>& verdicts) {
    std::optional<restriction_verdict> first;
    for (const auto& verdict : verdicts) {
        if (verdict.reason == restriction::none) {
            return std::nullopt;
        }
        if (!first || verdict.until < first->until) {
            first = verdict;
        }
    }
    return first;
}

std::string_view to_string(restriction value) {
    switch (value) {
    case restriction::draining:
        return "draining";
    case restriction::wrong_region:
        return "wrong_region";
    case restriction::evacuated:
        return "evacuated";
    case restriction::leaving:
        return "leaving";
    case restriction::quiet:
        return "quiet";
    case restriction::cold_limit:
        return "cold_limit";
    case restriction::named_limit:
        return "named_limit";
    case restriction::none:
        break;
    }
    return "none";
}

} // namespace figspoke::policy
