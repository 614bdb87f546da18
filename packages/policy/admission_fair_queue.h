#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/config.h"
#include "core/time.h"

namespace figspoke::policy {

/// What the admission queue knows about a request.
struct admission_request {
    /// Unique among the requests of one queue.
    std::uint64_t id = 0;
    core::priority priority = core::priority::normal;
    std::string account;
    /// Weight of the account in fair sharing, relative to other accounts of the same priority.
    double weight = 1;
    /// Expected slot time, in slot-seconds (see `work_estimate.h`).
    double work = 1;
    /// Value of the request relative to others; a full queue removes requests of lower value first.
    double value = 1;
    /// Time by which the response must be complete.
    std::optional<core::steady_time> deadline;
    /// Whether the caller of the queue can pause the request while it runs and resume it later.
    bool pausable = false;
};

/// A request in the queue.
struct waiting_request {
    admission_request request;
    core::steady_time enqueued_at;
    /// A start after this time would miss the deadline or exceed the longest wait of the priority.
    core::steady_time latest_start;
    /// Number of times that the request was paused.
    int pauses = 0;
};

/// The waiting requests of one account and its state in deficit round robin.
struct account_queue {
    std::deque<waiting_request> entries;
    double weight = 1;
    /// Work that the account may still start in this round, in slot-seconds; negative after an overrun.
    double deficit = 0;
    /// Expected work of `entries`, in slot-seconds.
    double queued_work = 0;
    /// Round in which the account last became idle.
    std::uint64_t idle_since_round = 0;
};

/// The waiting requests of one priority, scheduled by deficit round robin over the accounts.
struct fair_queue {
    /// Work per round of an account of weight 1, in slot-seconds.
    double quantum = 0.5;
    std::map<std::string, account_queue> accounts;
    /// Accounts that became active after an idle time without a debt; they are served before `round_robin`.
    std::deque<std::string> new_accounts;
    std::deque<std::string> round_robin;
    std::uint64_t round_number = 0;
    std::size_t size = 0;
    /// Number of waiting requests that were paused.
    std::size_t paused_count = 0;
    /// Expected work of all waiting requests, in slot-seconds.
    double queued_work = 0;
};

/// Returns whether an account may start a request now.
using account_predicate = std::function<bool(const std::string& account)>;

/// Appends a request to the queue of its account.
void push(fair_queue& queue, waiting_request entry);

/// Inserts a paused request at the front of its account's queue. Paused requests are served before all
/// others.
void push_front(fair_queue& queue, waiting_request entry);

/// Removes and returns the next request, in round-robin order, of an account that `allowed` accepts; empty if
/// there is none.
std::optional<waiting_request> pop(fair_queue& queue, const account_predicate& allowed);

/// Removes and returns a waiting request of an account; empty if none has the id.
std::optional<waiting_request> remove(fair_queue& queue, const std::string& account, std::uint64_t id);

/// Removes and returns the requests whose `latest_start` has passed.
std::vector<waiting_request> remove_expired(fair_queue& queue, core::steady_time now);

/// Charges an account for the difference between actual and expected work, in slot-seconds.
void charge_extra_work(fair_queue& queue, const std::string& account, double extra_work);

} // namespace figspoke::policy
