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

/// A request as the admission queue sees it.
struct admission_request {
    /// Unique among the requests of one queue.
    std::uint64_t id = 0;
    core::priority priority = core::priority::normal;
    std::string account;
    /// Share of the account relative to others of the same priority.
    double weight = 1;
    /// Expected time in one slot, in slot-seconds (see `work_estimate.h`).
    double work = 1;
    /// Value of the request relative to others; decides which one leaves a full queue.
    double worth = 1;
    /// When the response must be complete.
    std::optional<core::steady_time> deadline;
    /// Whether the caller of the queue can pause the request while it runs and resume it later.
    bool pausable = false;
};

/// A waiting request with its limits.
struct waiting_request {
    admission_request request;
    core::steady_time arrived;
    /// After this time the request can no longer be served in time.
    core::steady_time latest_start;
    /// How often the request was paused.
    int pauses = 0;
};

/// The waiting requests of one account, and the work that it may still start in this round.
struct account_queue {
    std::deque<waiting_request> entries;
    double weight = 1;
    double deficit = 0;
    double work = 0;
    /// Round at which the account last had nothing waiting.
    std::uint64_t left_round = 0;
};

/// Waiting requests of one priority under deficit round robin over accounts.
struct fair_queue {
    double quantum = 0.5;
    std::map<std::string, account_queue> accounts;
    /// Accounts whose first request after an idle time waits; they are served before `round`.
    std::deque<std::string> fresh;
    std::deque<std::string> round;
    std::uint64_t round_number = 0;
    std::size_t size = 0;
    /// How many of the waiting requests are paused ones.
    std::size_t paused = 0;
    double work = 0;
};

/// Tells whether an account may start a request now.
using account_predicate = std::function<bool(const std::string& account)>;

/// Appends a request to its account's queue.
void push(fair_queue& queue, waiting_request entry);

/// Puts a paused request back at the front of its account's queue; it is served before others.
void push_front(fair_queue& queue, waiting_request entry);

/// Removes and returns the next request of the accounts that may start one, in round order.
std::optional<waiting_request> pop(fair_queue& queue, const account_predicate& allowed);

/// Removes a waiting request by id; empty where none has the id.
std::optional<waiting_request> remove(fair_queue& queue, const std::string& account, std::uint64_t id);

/// Removes and returns the requests whose latest start has passed.
std::vector<waiting_request> remove_expired(fair_queue& queue, core::steady_time now);

/// Charges an account the difference between actual and expected work, in slot-seconds.
void settle(fair_queue& queue, const std::string& account, double extra_work);

} // namespace figspoke::policy
