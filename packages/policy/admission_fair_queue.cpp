#include "policy/admission_fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figspoke::policy {
namespace {

// Credits an account with the rounds that it was idle, until its debt is repaid. An idle account gains no
// positive credit, since it could use that for a burst.
void credit_idle_rounds(const fair_queue& queue, account_queue& account) {
    const auto rounds = static_cast<double>(queue.round_number - account.idle_since_round);
    account.deficit = std::min(0.0, account.deficit + rounds * queue.quantum * account.weight);
}

void erase_name(std::deque<std::string>& names, const std::string& name) {
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

void deactivate_account(fair_queue& queue, const std::string& name, account_queue& account) {
    account.idle_since_round = queue.round_number;
    account.queued_work = 0;
    account.deficit = std::min(account.deficit, 0.0);
    erase_name(queue.new_accounts, name);
    erase_name(queue.round_robin, name);
}

// Adds a request, which the caller inserts, to the totals, and schedules its account if that was idle.
account_queue& activate_account(fair_queue& queue, const admission_request& request) {
    account_queue& account = queue.accounts[request.account];
    account.weight = std::max(request.weight, 1e-3);
    if (account.entries.empty()) {
        credit_idle_rounds(queue, account);
        (account.deficit >= 0 ? queue.new_accounts : queue.round_robin).push_back(request.account);
    }
    account.queued_work += request.work;
    queue.queued_work += request.work;
    ++queue.size;
    return account;
}

waiting_request remove_at(fair_queue& queue, const std::string& name, std::size_t index) {
    account_queue& account = queue.accounts.at(name);
    const auto position = account.entries.begin() + static_cast<std::ptrdiff_t>(index);
    waiting_request removed = std::move(*position);
    account.entries.erase(position);
    account.queued_work -= removed.request.work;
    --queue.size;
    queue.paused_count -= removed.pauses > 0 ? 1 : 0;
    queue.queued_work = queue.size == 0 ? 0 : queue.queued_work - removed.request.work;
    if (account.entries.empty()) {
        deactivate_account(queue, name, account);
    }
    return removed;
}

// Removes the account's first request, charges the account for it and moves the account to the end of the
// round.
waiting_request serve(fair_queue& queue, const std::string& name) {
    account_queue& account = queue.accounts.at(name);
    account.deficit -= account.entries.front().request.work;
    erase_name(queue.new_accounts, name);
    erase_name(queue.round_robin, name);
    queue.round_robin.push_back(name);
    return remove_at(queue, name, 0);
}

// Advances by as many rounds as the first allowed account needs to reach a positive deficit. A loop over
// single rounds would be slow for large requests of accounts with small weights. Returns false if no account
// is allowed.
bool advance_rounds(fair_queue& queue, const account_predicate& allowed) {
    double rounds = std::numeric_limits<double>::infinity();
    for (const auto& name : queue.round_robin) {
        const account_queue& account = queue.accounts.at(name);
        if (allowed(name)) {
            rounds = std::min(rounds, std::floor(-account.deficit / (queue.quantum * account.weight)) + 1);
        }
    }
    if (!std::isfinite(rounds)) {
        return false;
    }
    for (const auto& name : queue.round_robin) {
        account_queue& account = queue.accounts.at(name);
        const double added = rounds * queue.quantum * account.weight;
        // An account that isn't allowed to start accumulates at most one quantum; more would cause a burst
        // later.
        account.deficit =
            std::min(account.deficit + added, std::max(account.deficit, queue.quantum * account.weight));
    }
    queue.round_number += static_cast<std::uint64_t>(rounds);
    return true;
}

std::optional<std::string> first_eligible(const fair_queue& queue, const account_predicate& allowed) {
    // Paused requests go first: the work that they have done is lost if they never finish.
    if (queue.paused_count > 0) {
        for (const auto& [name, account] : queue.accounts) {
            if (!account.entries.empty() && account.entries.front().pauses > 0 && allowed(name)) {
                return name;
            }
        }
    }
    for (const auto& name : queue.new_accounts) {
        if (allowed(name)) {
            return name;
        }
    }
    for (const auto& name : queue.round_robin) {
        const account_queue& account = queue.accounts.at(name);
        if (account.deficit > 0 && allowed(name)) {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace

void push(fair_queue& queue, waiting_request entry) {
    account_queue& account = activate_account(queue, entry.request);
    account.entries.push_back(std::move(entry));
}

void push_front(fair_queue& queue, waiting_request entry) {
    account_queue& account = activate_account(queue, entry.request);
    ++queue.paused_count;
    account.entries.push_front(std::move(entry));
}

std::optional<waiting_request> pop(fair_queue& queue, const account_predicate& allowed) {
    auto name = first_eligible(queue, allowed);
    if (!name && advance_rounds(queue, allowed)) {
        name = first_eligible(queue, allowed);
    }
    return name ? std::optional(serve(queue, *name)) : std::nullopt;
}

std::optional<waiting_request> remove(fair_queue& queue, const std::string& account, std::uint64_t id) {
    const auto found = queue.accounts.find(account);
    if (found == queue.accounts.end()) {
        return std::nullopt;
    }
    const auto& entries = found->second.entries;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (entries[i].request.id == id) {
            return remove_at(queue, account, i);
        }
    }
    return std::nullopt;
}

std::vector<waiting_request> remove_expired(fair_queue& queue, core::steady_time now) {
    std::vector<waiting_request> expired;
    for (auto& [name, account] : queue.accounts) {
        for (std::size_t i = 0; i < account.entries.size();) {
            if (account.entries[i].latest_start < now) {
                expired.push_back(remove_at(queue, name, i));
            } else {
                ++i;
            }
        }
    }
    return expired;
}

void charge_extra_work(fair_queue& queue, const std::string& account, double extra_work) {
    const auto found = queue.accounts.find(account);
    if (found != queue.accounts.end()) {
        found->second.deficit -= extra_work;
    }
}

} // namespace figspoke::policy
