#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::policy {

/// What an answer says of the pace of its upstream.
enum class pace_answer {
    /// As fast as the answers of established upstreams.
    fast,
    /// Slower than these.
    slow,
    /// Refused for lack of room.
    refused,
    failed
};

struct pace_settings {
    /// Requests at once that a new upstream gets first, as a share of its slots and at least one.
    double first_share = 0.125;
    /// Share of slow answers in a step from which the limit falls.
    double slow_share = 0.5;
    /// Time after which a pace ends that neither a refusal nor a failure has held back, so that an upstream
    /// that is asked rarely, or is slower than its peers for good, bears its part all the same.
    core::milliseconds max_duration{10000};
    /// An answer is slow from this multiple of the usual time of its route.
    double slow_factor = 2.5;
    std::size_t max_upstreams = 1000;
};

/// The pace of one incarnation of an upstream that has just started or recovered.
struct upstream_pace {
    int slots = 1;
    /// Requests at once from all nodes together.
    int limit = 1;
    /// Number of times that a refusal or a failure lowered the limit. Of two records, the one with more
    /// setbacks is the later one.
    int setbacks = 0;
    /// Answers of this step.
    int fast = 0;
    int slow = 0;
    /// When the pace began, or when it was last held back.
    core::steady_time held_at{};
};

/// Paces of the upstreams that don't bear their part yet. Upstreams without a record are established.
struct pace_table {
    std::map<std::string, upstream_pace> upstreams;
};

/// Starts the pace of an upstream that has started or recovered.
void begin_pace(pace_table& table, const pace_settings& settings, const std::string& upstream, int slots,
                core::steady_time now);

/// Records an answer. The limit doubles after a round of answers that were mostly fast: as many as `limit`,
/// divided among `reporters` nodes of which each has a table of its own. It falls by half after a round of
/// slow ones and at once on a refusal or a failure. Returns whether the limit has changed.
bool record_pace_answer(pace_table& table, const pace_settings& settings, const std::string& upstream,
                        pace_answer answer, std::size_t reporters, core::steady_time now);

/// Adopts what another node has found, if it is later: more setbacks, or the higher limit with as many.
bool merge_pace(pace_table& table, const std::string& upstream, int limit, int setbacks,
                core::steady_time now);

/// Removes paces whose time has ended.
void expire_paces(pace_table& table, const pace_settings& settings, core::steady_time now);

/// Returns the limit of an upstream as a share of its slots, 1 if it is established.
double pace_share(const pace_table& table, const std::string& upstream);

/// Returns this node's part of a limit for all nodes. The parts of all nodes add up to the limit; those that
/// get one more are chosen by rendezvous.
int pace_part(int limit, const std::string& upstream, const std::string& self,
              const std::vector<std::string>& nodes);

/// Learned times to the first byte of established upstreams, by route.
struct usual_times {
    std::map<std::string, double> ms;
};

inline constexpr std::size_t max_usual_times = 1000;

void learn_usual_time(usual_times& times, const std::string& route, core::milliseconds took);

/// Returns whether an answer is as fast as is usual on its route. Until that is known, one within half of the
/// route's latency target is.
bool is_fast_answer(const usual_times& times, const pace_settings& settings, const std::string& route,
                    core::milliseconds took, core::milliseconds latency_target);

} // namespace figspoke::policy
