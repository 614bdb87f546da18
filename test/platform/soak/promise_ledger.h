#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"

namespace figspoke::soak {

/// What may be repeated of a request.
enum class request_kind { at_most_once, repeatable, stream };

/// One request as its caller sent it.
struct sent_request {
    request_kind kind = request_kind::repeatable;
    std::string key;
    core::steady_time at{};
    /// Time for which the caller waits.
    core::milliseconds deadline{0};
};

/// One run of a request on an engine.
struct engine_run {
    std::string engine;
    core::steady_time at{};
    /// The engine sent its whole answer.
    bool completed = false;
    /// The engine broke the answer off.
    bool broken_off = false;
};

/// A span of time, such as that of a fault.
struct time_span {
    core::steady_time from{};
    core::steady_time until{};
};

/// What callers sent and saw, what engines ran, and when keys were taken away.
struct promise_ledger {
    std::map<std::string, sent_request> sent;
    std::map<std::string, std::vector<engine_run>> runs;
    /// Requests that were answered with a status that promises that they didn't run, with that status.
    std::map<std::string, int> promised_not_run;
    /// Requests whose connection ended without a whole answer, though their caller still waited.
    std::map<std::string, time_span> cut_off;
    std::map<std::string, core::steady_time> revoked_keys;
    std::map<std::string, core::steady_time> drained_engines;
    /// Spans in which no tenant was configured, so that no key admits a request.
    std::vector<time_span> without_tenants;
    /// Spans in which a node ends and starts again, planned or not.
    std::vector<time_span> restarts;
    /// Unplanned faults of nodes, of their links and of the store.
    std::vector<time_span> faults;
    /// Broken promises that were seen at once, such as an answer of another request.
    std::vector<std::string> violations;
};

/// Whether a status of the system's own says that the request has not run and never will.
bool promises_not_run(int status);

/// Times within which the promises hold.
struct promise_bounds {
    /// A key that was taken away admits nothing later than this.
    core::milliseconds revocation{3000};
    /// A draining engine gets nothing new later than this, whatever happens once nodes have learned that it
    /// drains. Nodes that have just started are excused.
    core::milliseconds drain{2000};
    /// Time without faults after which nodes are judged by bounds that hold in calm only.
    core::milliseconds calm{3000};
};

/// Returns all broken promises: requests that ran more often than they may, ran although they were refused
/// or their key was taken away, reached an engine that drains, or lost an answer that their engine gave or
/// was giving while nothing but planned work went on; and those seen at once.
std::vector<std::string> broken_promises(const promise_ledger& ledger, const promise_bounds& bounds);

/// What a caller received of a stream: whole events in order, each once, and the end.
struct stream_check {
    std::uint64_t events = 0;
    bool ended = false;
    std::optional<std::string> fault;
};

/// Returns the n-th event of a stream: `last` ends it, others carry the content.
std::string stream_event(std::uint64_t number, bool last, const std::string& content);

/// Reads a stream of events as `stream_event` makes them.
stream_check check_stream(const std::string& body, const std::string& content);

} // namespace figspoke::soak
