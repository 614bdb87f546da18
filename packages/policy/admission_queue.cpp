#include "policy/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/admission_wait.h"

namespace figspoke::policy {
namespace {

using core::error_kind;

// Accounts that were silent for longer no longer reduce the share of the others.
constexpr std::chrono::seconds activity_window(30);
constexpr std::chrono::milliseconds sweep_interval(10);

std::size_t index_of(core::priority priority) {
    return static_cast<std::size_t>(priority);
}

void advance_to(admission_queue& queue, core::steady_time now) {
    std::array<std::size_t, core::priority_count> sizes{};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        sizes.at(i) = queue.waiting.at(i).size;
    }
    advance(queue.shares, queue.settings, queue.capacity, sizes, now);
}

// The baseline is one queue in order of arrival: all requests share one account and one priority.
admission_request normalised(const admission_queue& queue, const admission_request& request) {
    admission_request result = request;
    result.weight = std::max(request.weight, 1e-3);
    if (queue.settings.discipline == queue_discipline::fifo) {
        result.priority = core::priority::urgent;
        result.account.clear();
        result.weight = 1;
        result.worth = 1;
        result.deadline.reset();
    }
    return result;
}

void update_active_weight(admission_queue& queue, core::steady_time now) {
    queue.active_weight = 0;
    for (auto it = queue.accounts.begin(); it != queue.accounts.end();) {
        const bool active = it->second.running > 0 || now - it->second.last_seen < activity_window;
        queue.active_weight += active ? it->second.weight : 0;
        it = active ? std::next(it) : queue.accounts.erase(it);
    }
    queue.weight_updated = now;
}

void note_account(admission_queue& queue, const admission_request& request, core::steady_time now) {
    const auto [found, is_new] = queue.accounts.try_emplace(request.account);
    found->second.weight = request.weight;
    found->second.last_seen = now;
    if (is_new || now - queue.weight_updated > std::chrono::seconds(1)) {
        update_active_weight(queue, now);
    }
}

// An account is heavy where one more request would take it past its share of the slots.
bool is_heavy(const admission_queue& queue, const std::string& account, double weight) {
    const auto found = queue.accounts.find(account);
    if (found == queue.accounts.end()) {
        return false;
    }
    const double share = weight / std::max(queue.active_weight, weight);
    const double slots = std::max(1.0, share * queue.capacity);
    return static_cast<double>(found->second.running) + 1 > slots;
}

// A slot that is taken can't be given back before its request ends. A few are therefore left free by work
// that has its share already, so that urgent requests and light accounts needn't wait for one.
double slots_left_free(const admission_queue& queue, core::priority priority, const std::string& account,
                       double weight) {
    const bool urgent = priority == core::priority::urgent;
    if (!urgent && is_below_floor(queue.shares, queue.settings, queue.capacity, priority)) {
        return 0;
    }
    const double headroom = std::round(queue.settings.headroom * queue.capacity);
    return (is_heavy(queue, account, weight) ? headroom : 0) + (urgent ? 0 : headroom);
}

bool can_start(const admission_queue& queue, core::priority priority, const std::string& account,
               double weight) {
    // A node whose share of the fleet is less than one slot still runs one request at a time.
    const double capacity = queue.capacity > 0 ? std::max(1.0, queue.capacity) : 0;
    const auto running = static_cast<double>(queue.running.size());
    return running + 1 + slots_left_free(queue, priority, account, weight) <= capacity;
}

void start(admission_queue& queue, const admission_request& request, core::steady_time now) {
    queue.running[request.id] = {request.priority, request.account, request.work, now};
    ++queue.shares.priorities.at(index_of(request.priority)).running;
    ++queue.accounts[request.account].running;
}

std::optional<waiting_request> pop_startable(admission_queue& queue, core::priority priority) {
    fair_queue& waiting = queue.waiting.at(index_of(priority));
    if (waiting.size == 0) {
        return std::nullopt;
    }
    auto entry = pop(waiting, [&](const std::string& account, double weight) {
        return can_start(queue, priority, account, weight);
    });
    return entry;
}

// Priorities below their floor come first, in order of urgency; what remains goes to the most urgent.
std::optional<waiting_request> select(admission_queue& queue) {
    for (const bool only_below_floor : {true, false}) {
        for (std::size_t i = 0; i < core::priority_count; ++i) {
            const auto priority = static_cast<core::priority>(i);
            if (only_below_floor && !is_below_floor(queue.shares, queue.settings, queue.capacity, priority)) {
                continue;
            }
            if (auto entry = pop_startable(queue, priority)) {
                return entry;
            }
        }
    }
    return std::nullopt;
}

core::error refusal(error_kind kind, const admission_queue& queue, const admission_request& request) {
    const std::string where =
        std::string(core::to_string(request.priority)) + " work of account \"" + request.account + "\"";
    const auto wait = core::to_ms(expected_wait(queue, request));
    const std::string message = kind == error_kind::overloaded
                                    ? "the queue for " + where + " is full"
                                    : where + " can't be served in time; the expected wait is " +
                                          std::to_string(wait.count()) + " ms";
    const auto least = core::error_answer_for(kind).retry_after.value_or(core::milliseconds(0));
    return {kind, message, std::max(least, wait)};
}

void collect_expired(admission_queue& queue, core::steady_time now, std::vector<admission_event>& events) {
    if (now - queue.swept < sweep_interval) {
        return;
    }
    queue.swept = now;
    for (auto& waiting : queue.waiting) {
        for (const auto& entry : remove_expired(waiting, now)) {
            queue.waiting_places.erase(entry.request.id);
            events.push_back(
                {entry.request.id, refusal(error_kind::deadline_unreachable, queue, entry.request)});
        }
    }
}

// The worth of an account's last request falls with the number that it has waiting already.
double marginal_worth(double worth, double weight, std::size_t position) {
    return worth * weight / static_cast<double>(position);
}

std::optional<waiting_request> displace(fair_queue& waiting, const admission_request& request) {
    const auto longest =
        std::max_element(waiting.accounts.begin(), waiting.accounts.end(), [](const auto& a, const auto& b) {
            return static_cast<double>(a.second.entries.size()) / a.second.weight <
                   static_cast<double>(b.second.entries.size()) / b.second.weight;
        });
    const std::size_t own = waiting.accounts[request.account].entries.size();
    const double worth = marginal_worth(request.worth, request.weight, own + 1);
    const auto& entries = longest->second.entries;
    for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
        if (marginal_worth(it->request.worth, longest->second.weight, entries.size()) < worth) {
            return remove(waiting, longest->first, it->request.id);
        }
    }
    return std::nullopt;
}

// Makes room for a request in a bounded queue; false where the request is worth less than those that wait.
bool make_room(admission_queue& queue, const admission_request& request,
               std::optional<admission_event>& displaced) {
    const std::size_t limit = queue.settings.queue_limits.at(index_of(request.priority));
    fair_queue& waiting = queue.waiting.at(index_of(request.priority));
    const auto account_limit = std::max<std::size_t>(
        1, static_cast<std::size_t>(queue.settings.account_queue_share * static_cast<double>(limit)));
    if (waiting.accounts[request.account].entries.size() >= account_limit) {
        return false;
    }
    if (waiting.size < limit) {
        return true;
    }
    const auto removed = displace(waiting, request);
    if (removed) {
        queue.waiting_places.erase(removed->request.id);
        displaced = {removed->request.id, refusal(error_kind::overloaded, queue, removed->request)};
    }
    return removed.has_value();
}

admission_decision enqueue(admission_queue& queue, const admission_request& request, core::steady_time latest,
                           core::steady_time now) {
    admission_decision decision;
    if (!make_room(queue, request, decision.displaced)) {
        decision.error = refusal(error_kind::overloaded, queue, request);
        return decision;
    }
    queue.waiting_places[request.id] = {request.priority, request.account};
    push(queue.waiting.at(index_of(request.priority)), {request, now, latest});
    decision.state = admission_state::queued;
    return decision;
}

bool has_waiting(const admission_queue& queue, const admission_request& request) {
    const auto& accounts = queue.waiting.at(index_of(request.priority)).accounts;
    const auto found = accounts.find(request.account);
    return found != accounts.end() && !found->second.entries.empty();
}

} // namespace

admission_queue make_admission_queue(const admission_settings& settings, double capacity,
                                     core::steady_time now) {
    admission_queue queue;
    queue.settings = settings;
    queue.capacity = capacity;
    queue.shares.updated = now;
    if (settings.discipline == queue_discipline::fifo) {
        const auto& limits = settings.queue_limits;
        queue.settings.queue_limits = {limits[0] + limits[1] + limits[2], 0, 0};
        queue.settings.max_wait.fill(std::chrono::hours(24));
        queue.settings.account_queue_share = 1;
        queue.settings.headroom = 0;
    }
    for (auto& waiting : queue.waiting) {
        waiting.quantum = std::max(settings.quantum, 1e-3);
    }
    return queue;
}

void set_capacity(admission_queue& queue, double capacity, core::steady_time now) {
    advance_to(queue, now);
    queue.capacity = std::max(0.0, capacity);
}

admission_decision submit(admission_queue& queue, const admission_request& original, core::steady_time now) {
    advance_to(queue, now);
    const admission_request request = normalised(queue, original);
    note_account(queue, request, now);
    const auto latest = latest_start(queue, request, now);
    if (latest < now) {
        return {admission_state::refused, refusal(error_kind::deadline_unreachable, queue, request), {}};
    }
    if (!has_waiting(queue, request) && can_start(queue, request.priority, request.account, request.weight)) {
        start(queue, request, now);
        return {admission_state::admitted, std::nullopt, std::nullopt};
    }
    if (now + expected_wait(queue, request) > latest) {
        return {admission_state::refused, refusal(error_kind::deadline_unreachable, queue, request), {}};
    }
    return enqueue(queue, request, latest, now);
}

std::vector<admission_event> next(admission_queue& queue, core::steady_time now) {
    advance_to(queue, now);
    std::vector<admission_event> events;
    collect_expired(queue, now, events);
    while (auto entry = select(queue)) {
        const std::uint64_t id = entry->request.id;
        queue.waiting_places.erase(id);
        if (entry->latest_start < now) {
            events.push_back({id, refusal(error_kind::deadline_unreachable, queue, entry->request)});
            continue;
        }
        start(queue, entry->request, now);
        events.push_back({id, std::nullopt});
    }
    return events;
}

bool cancel(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const auto found = queue.waiting_places.find(id);
    if (found == queue.waiting_places.end()) {
        return false;
    }
    advance_to(queue, now);
    remove(queue.waiting.at(index_of(found->second.priority)), found->second.account, id);
    queue.waiting_places.erase(found);
    return true;
}

bool finish(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const auto found = queue.running.find(id);
    if (found == queue.running.end()) {
        return false;
    }
    advance_to(queue, now);
    const running_request& request = found->second;
    const double actual = core::to_seconds(now - request.started);
    constexpr double keep = 0.98; // about the last 50 requests
    const double ratio = actual / std::max(request.work, 1e-3);
    queue.slowdown = keep * queue.slowdown + (1 - keep) * std::clamp(ratio, 0.1, 10.0);
    settle(queue.waiting.at(index_of(request.priority)), request.account, actual - request.work);
    --queue.shares.priorities.at(index_of(request.priority)).running;
    --queue.accounts[request.account].running;
    queue.running.erase(found);
    return true;
}

std::size_t waiting_count(const admission_queue& queue) {
    return queue.waiting_places.size();
}

} // namespace figspoke::policy
