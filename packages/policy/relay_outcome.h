#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/time.h"
#include "state/route_table.h"

namespace figspoke::policy {

/// How one send to an upstream ended.
enum class send_result {
    /// No byte of the request left this node.
    not_sent,
    /// The upstream answered that it did not run the request.
    refused,
    /// The request may have run; no complete answer was received.
    unknown,
    /// A complete answer was received; it is a success.
    succeeded,
    /// A complete answer was received; it is a failure of the upstream, which ran the request.
    failed
};

/// One send of a request.
struct send_record {
    std::string upstream;
    send_result result = send_result::not_sent;
};

/// The sends of a request so far, and the rules for repeating it.
struct send_history {
    state::retry_policy retry = state::retry_policy::at_most_once;
    int max_attempts = 1;
    /// Whether a byte of an answer was sent to the caller.
    bool answer_begun = false;
    std::vector<send_record> sends;
};

/// Returns the number of sends that reached an upstream.
int attempts_used(const send_history& history);

/// Returns whether certainly no upstream ran the request.
bool never_ran(const send_history& history);

/// Returns whether the request may be sent to another upstream. The repeat budget and the deadline are not
/// checked here.
bool may_send_again(const send_history& history);

/// Why a request ends without a success.
enum class end_cause { no_upstream, deadline, out_of_budget, no_more_attempts, refused_at_once, node_stops };

/// Returns the error kind for a request that ends without an answer of an upstream. A kind that promises "not
/// run" is returned only where `never_ran` holds.
core::error_kind final_error(const send_history& history, end_cause cause);

/// Returns the name of a value in the decision log.
std::string_view to_string(send_result value);
std::string_view to_string(end_cause value);

} // namespace figspoke::policy
