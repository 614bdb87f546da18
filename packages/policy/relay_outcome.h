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
    /// The upstream said that it did not run the request.
    refused,
    /// The request may have run; no whole answer came.
    unknown,
    /// A whole answer came; it is a success.
    succeeded,
    /// A whole answer came; it is a failure of the upstream, which ran the request.
    failed
};

/// One send of a request.
struct send_record {
    std::string upstream;
    send_result result = send_result::not_sent;
};

/// A request's sends so far, and what it allows.
struct send_history {
    state::repeat_rule repeat = state::repeat_rule::at_most_once;
    int max_attempts = 1;
    /// Whether a byte of an answer reached the caller.
    bool answer_begun = false;
    std::vector<send_record> sends;
};

/// Returns the number of upstreams that the request reached.
int attempts_used(const send_history& history);

/// Tells whether every send is known not to have run.
bool never_ran(const send_history& history);

/// Tells whether the request may be sent to another upstream. Budget and time are judged elsewhere.
bool may_send_again(const send_history& history);

/// Why a request ends without a success.
enum class end_cause { no_upstream, deadline, out_of_budget, no_more_attempts, refused_at_once };

/// The error kind for a request that ends without an answer of an upstream. A kind that promises "not run" is
/// returned only where `never_ran` holds.
core::error_kind final_error(const send_history& history, end_cause cause);

/// Returns the name of a result as the decision log writes it.
std::string_view to_string(send_result value);
std::string_view to_string(end_cause value);

} // namespace figspoke::policy
