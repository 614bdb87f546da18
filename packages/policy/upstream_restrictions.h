#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// Why an upstream can't take a request now, whatever its load is.
enum class restriction { none, draining, wrong_region, evacuated, leaving, quiet, cold_limit, named_limit };

/// What an upstream's own answers to this node said of further requests.
struct upstream_notice {
    /// The start of the upstream that the notice belongs to; a later start isn't bound by it.
    std::int64_t incarnation = 0;
    /// Since when the upstream has said that it is leaving.
    std::optional<core::steady_time> leaving_since;
    /// Until when it asked this node for silence.
    core::steady_time quiet_until = core::steady_time::min();
    /// When the upstream was last known with this start.
    core::steady_time known_at{};
};

/// Notices by upstream.
struct upstream_notices {
    std::map<std::string, upstream_notice> upstreams;
};

/// Bound of the notices kept at once; the one whose upstream was last known longest ago makes room.
inline constexpr std::size_t max_upstream_notices = 4000;
/// How long a notice is kept after its upstream was last known. The upstream may be listed again with the
/// same start, for example by an older copy of the list.
inline constexpr core::seconds notice_lifetime{600};

/// Records that an answer said that the upstream is leaving. Returns whether that is news.
bool record_leaving(upstream_notices& notices, const std::string& upstream, std::int64_t incarnation,
                    core::steady_time now);

/// Records that a refusal asked for silence. The nodes return at different times within the quarter after
/// it, by their ids, so that they don't all return at once.
void record_quiet(upstream_notices& notices, const std::string& upstream, std::int64_t incarnation,
                  core::milliseconds quiet_for, std::string_view node, core::steady_time now);

/// Returns the notice that binds this start of the upstream, or null.
const upstream_notice* find_notice(const upstream_notices& notices, const std::string& upstream,
                                   std::int64_t incarnation);

/// Removes notices of upstreams that `is_known` hasn't known with the same incarnation for a long time.
template <class Known>
void expire_notices(upstream_notices& notices, core::steady_time now, Known is_known) {
    for (auto it = notices.upstreams.begin(); it != notices.upstreams.end();) {
        auto& notice = it->second;
        if (is_known(it->first, notice.incarnation)) {
            notice.known_at = now;
        }
        it = now - notice.known_at > notice_lifetime ? notices.upstreams.erase(it) : std::next(it);
    }
}

/// Returns whether a region is in both lists. An empty list allows all regions.
bool is_allowed_region(const std::string& region, const std::vector<std::string>& of_route,
                       const std::vector<std::string>& of_account);

/// What decides about one upstream and one request.
struct restriction_input {
    bool draining = false;
    bool allowed_region = true;
    /// Whether the upstream's failure domain is evacuated.
    bool evacuated = false;
    const upstream_notice* notice = nullptr;
    /// Times from which the upstream's cold limit and its named limit allow the next request; `max` if
    /// unknown.
    core::steady_time cold_send_at = core::steady_time::min();
    core::steady_time named_send_at = core::steady_time::min();
};

/// The reason against an upstream and the time at which it ends.
struct restriction_verdict {
    restriction reason = restriction::none;
    /// `steady_time::max()` if the end isn't known.
    core::steady_time until = core::steady_time::max();
    /// There is no reason against it, but others should be preferred.
    bool avoid = false;
};

/// Decides whether an upstream may get a request now. An upstream that is leaving may get requests for half
/// of `drain` where no other has room, and none after it.
restriction_verdict restriction_of(const restriction_input& input, core::milliseconds drain,
                                   core::steady_time now);

/// Returns the verdict that ends first; empty if there is none or one of them doesn't restrict. Where it ends
/// after the time that a request can wait, the request is refused at once.
std::optional<restriction_verdict> first_to_end(const std::vector<restriction_verdict>& verdicts);

/// Returns the name of a value in logs and metrics.
std::string_view to_string(restriction value);

} // namespace figspoke::policy
