#include "policy/admission_fair_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace figspoke::policy {
namespace {

// An account that returns after an idle time has repaid its debt with the rounds that it sat out. Credit
// isn't kept, so idling can't be saved up for a burst.
void repay_while_idle(const fair_queue& queue, account_queue& account) {
    const auto rounds = static_cast<double>(queue.round_number - account.left_round);
    account.deficit = std::min(0.0, account.deficit + rounds * queue.quantum * account.weight);
}

void erase_name(std::deque<std::string>& names, const std::string& name) {
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
}

void leave_rounds(fair_queue& queue, const std::string& name, account_queue& account) {
    account.left_round = queue.round_number;
    account.work = 0;
    account.deficit = std::min(account.deficit, 0.0);
    erase_name(queue.fresh, name);
    erase_name(queue.round, name);
}

// Counts a request that is about to wait and enters its account into the rounds.
account_queue& enter(fair_queue& queue, const admission_request& request) {
    account_queue& account = queue.accounts[request.account];
    account.weight = std::max(request.weight, 1e-3);
    if (account.entries.empty()) {
        repay_while_idle(queue, account);
        (account.deficit >= 0 ? queue.fresh : queue.round).push_back(request.account);
    }
    account.work += request.work;
    queue.work += request.work;
    ++queue.size;
    return account;
}

waiting_request take_at(fair_queue& queue, const std::string& name, std::size_t index) {
    account_queue& account = queue.accounts.at(name);
    const auto position = account.entries.begin() + static_cast<std::ptrdiff_t>(index);
    waiting_request taken = std::move(*position);
    account.entries.erase(position);
    account.work -= taken.request.work;
    --queue.size;
    queue.paused -= taken.pauses > 0 ? 1 : 0;
    queue.work = queue.size == 0 ? 0 : queue.work - taken.request.work;
    if (account.entries.empty()) {
        leave_rounds(queue, name, account);
    }
    return taken;
}

// Serves the account's oldest request and moves the account to the end of the round.
waiting_request serve(fair_queue& queue, const std::string& name) {
    account_queue& account = queue.accounts.at(name);
    account.deficit -= account.entries.front().request.work;
    erase_name(queue.fresh, name);
    erase_name(queue.round, name);
    queue.round.push_back(name);
    return take_at(queue, name, 0);
}

// Starts as many rounds at once as the first allowed account needs to come out of its debt, so that large
// requests with small weights don't cost a loop each.
bool start_rounds(fair_queue& queue, const account_predicate& allowed) {
    double rounds = std::numeric_limits<double>::infinity();
    for (const auto& name : queue.round) {
        const account_queue& account = queue.accounts.at(name);
        if (allowed(name)) {
            rounds = std::min(rounds, std::floor(-account.deficit / (queue.quantum * account.weight)) + 1);
        }
    }
    if (!std::isfinite(rounds)) {
        return false;
    }
    for (const auto& name : queue.round) {
        account_queue& account = queue.accounts.at(name);
        const double added = rounds * queue.quantum * account.weight;
        // An account that may not start keeps at most one quantum, or it would later start a burst.
        account.deficit =
            std::min(account.deficit + added, std::max(account.deficit, queue.quantum * account.weight));
    }
    queue.round_number += static_cast<std::uint64_t>(rounds);
    return true;
}

std::optional<std::string> first_ready(const fair_queue& queue, const account_predicate& allowed) {
    // What a paused request has done is lost if it never ends.
    if (queue.paused > 0) {
        for (const auto& [name, account] : queue.accounts) {
            if (!account.entries.empty() && account.entries.front().pauses > 0 && allowed(name)) {
                return name;
            }
        }
    }
    for (const auto& name : queue.fresh) {
        if (allowed(name)) {
            return name;
        }
    }
    for (const auto& name : queue.round) {
        const account_queue& account = queue.accounts.at(name);
        if (account.deficit > 0 && allowed(name)) {
            return name;
        }
    }
    return std::nullopt;
}

} // namespace

void push(fair_queue& queue, waiting_request entry) {
    account_queue& account = enter(queue, entry.request);
    account.entries.push_back(std::move(entry));
}

void push_front(fair_queue& queue, waiting_request entry) {
    account_queue& account = enter(queue, entry.request);
    ++queue.paused;
    account.entries.push_front(std::move(entry));
}

std::optional<waiting_request> pop(fair_queue& queue, const account_predicate& allowed) {
    auto name = first_ready(queue, allowed);
    if (!name && start_rounds(queue, allowed)) {
        name = first_ready(queue, allowed);
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
            return take_at(queue, account, i);
        }
    }
    return std::nullopt;
}

std::vector<waiting_request> remove_expired(fair_queue& queue, core::steady_time now) {
    std::vector<waiting_request> expired;
    for (auto& [name, account] : queue.accounts) {
        for (std::size_t i = 0; i < account.entries.size();) {
            if (account.entries[i].latest_start < now) {
                expired.push_back(take_at(queue, name, i));
            } else {
                ++i;
            }
        }
    }
    return expired;
}

void settle(fair_queue& queue, const std::string& account, double extra_work) {
    const auto found = queue.accounts.find(account);
    if (found != queue.accounts.end()) {
        found->second.deficit -= extra_work;
    }
}

} // namespace figspoke::policy
