#include "policy/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/admission_pause.h"
#include "policy/admission_wait.h"

namespace figspoke::policy {
namespace {

using core::error_kind;

constexpr std::chrono::milliseconds expiry_check_interval(10);

std::size_t index_of(core::priority priority) {
    return static_cast<std::size_t>(priority);
}

void update_shares(admission_queue& queue, core::steady_time now) {
    std::array<std::size_t, core::priority_count> sizes{};
    for (std::size_t i = 0; i < sizes.size(); ++i) {
        sizes.at(i) = queue.waiting.at(i).size;
    }
    advance(queue.shares, queue.settings, queue.capacity, sizes, now);
    queue.updated_at = std::max(queue.updated_at, now);
}

// Makes the weight positive and, for the FIFO baseline, gives all requests the same account and priority, so
// that they share one queue in order of arrival.
admission_request normalise_request(const admission_queue& queue, const admission_request& request) {
    admission_request result = request;
    result.weight = std::max(request.weight, 1e-3);
    if (queue.settings.discipline == queue_discipline::fifo) {
        result.priority = core::priority::urgent;
        result.account.clear();
        result.weight = 1;
        result.value = 1;
        result.deadline.reset();
        result.pausable = false;
    }
    return result;
}

void record_request(admission_queue& queue, const admission_request& request, core::steady_time now) {
    record_arrival(queue.activities.at(index_of(request.priority)), request, queue.capacity, now);
    if (request.priority == core::priority::urgent) {
        record_event(queue.urgent_arrival_rate, now);
    }
}

bool is_within_fair_share(const admission_queue& queue, core::priority priority, const std::string& account) {
    return !exceeds_fair_share(queue.activities.at(index_of(priority)), account, queue.capacity,
                               queue.updated_at);
}

bool is_pausable(const admission_queue& queue, const admission_request& request, int pauses) {
    return request.pausable && pauses < queue.settings.max_pauses;
}

// Returns the number of slots used by less urgent work above its floor that pausing would free at once. They
// count as headroom; otherwise less urgent work, which needn't leave headroom if it can be paused, would keep
// out work that must.
double slots_freed_by_pausing(const admission_queue& queue, core::priority priority) {
    double slots = 0;
    for (std::size_t i = index_of(priority) + 1; i < core::priority_count; ++i) {
        const double above_floor = static_cast<double>(queue.shares.priorities.at(i).running) -
                                   queue.settings.floors.at(i) * queue.capacity;
        slots += std::min(static_cast<double>(queue.pausable_running.at(i)),
                          std::max(0.0, std::floor(above_floor)));
    }
    return slots;
}

// Returns the number of slots that must remain free after the request starts. A request that can't be paused
// occupies its slot until it ends. Work that already has its share therefore leaves a few slots free, so that
// urgent requests and accounts within their fair share needn't wait for one.
double required_headroom(const admission_queue& queue, const admission_request& request, int pauses) {
    const bool urgent = request.priority == core::priority::urgent;
    if (!urgent && is_below_floor(queue.shares, queue.settings, queue.capacity, request.priority)) {
        return 0;
    }
    if (is_pausable(queue, request, pauses)) {
        return 0;
    }
    double protected_arrivals_per_s = urgent ? 0 : rate_at(queue.urgent_arrival_rate, queue.updated_at);
    if (!is_within_fair_share(queue, request.priority, request.account)) {
        protected_arrivals_per_s +=
            rate_at(queue.activities.at(index_of(request.priority)).within_share_arrivals, queue.updated_at);
    }
    const auto max_slots = static_cast<std::size_t>(std::lround(queue.settings.headroom * queue.capacity));
    const auto needed = static_cast<double>(slots_to_reserve(protected_arrivals_per_s,
                                                             rate_at(queue.completion_rate, queue.updated_at),
                                                             queue.settings.tolerated_wait, max_slots));
    return std::max(0.0, needed - slots_freed_by_pausing(queue, request.priority));
}

bool has_free_slot(const admission_queue& queue, double headroom) {
    // A node whose share of the fleet's capacity is less than one slot still runs one request at a time.
    const double capacity = queue.capacity > 0 ? std::max(1.0, queue.capacity) : 0;
    return static_cast<double>(queue.running.size()) + 1 + headroom <= capacity;
}

bool can_start(const admission_queue& queue, const admission_request& request, int pauses) {
    return has_free_slot(queue, 0) && has_free_slot(queue, required_headroom(queue, request, pauses));
}

void start(admission_queue& queue, const waiting_request& entry, bool charged, core::steady_time now) {
    queue.running[entry.request.id] = {entry.request, now, entry.pauses, charged};
    const std::size_t index = index_of(entry.request.priority);
    ++queue.shares.priorities.at(index).running;
    queue.pausable_running.at(index) += is_pausable(queue, entry.request, entry.pauses) ? 1 : 0;
}

std::optional<waiting_request> pop_startable(admission_queue& queue, core::priority priority) {
    fair_queue& waiting = queue.waiting.at(index_of(priority));
    if (waiting.size == 0 || !has_free_slot(queue, 0)) {
        return std::nullopt;
    }
    return pop(waiting, [&](const std::string& account) {
        const waiting_request& head = waiting.accounts.at(account).entries.front();
        return can_start(queue, head.request, head.pauses);
    });
}

// Removes the waiting request to start: the one of the most urgent priority below its floor, otherwise the
// one of the most urgent priority. Priorities without a request that can start are skipped.
std::optional<waiting_request> select_waiting(admission_queue& queue) {
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

// Frees the slot of a running request; returns how long the request held it, in seconds.
double release_slot(admission_queue& queue, const running_request& running, core::steady_time now) {
    const admission_request& request = running.request;
    const std::size_t index = index_of(request.priority);
    const double slot_time_s = core::to_seconds(now - running.started_at);
    if (running.charged) {
        charge_extra_work(queue.waiting.at(index), request.account, slot_time_s - request.work);
    }
    --queue.shares.priorities.at(index).running;
    queue.pausable_running.at(index) -= is_pausable(queue, request, running.pauses) ? 1 : 0;
    queue.running.erase(request.id);
    return slot_time_s;
}

void pause_request(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const running_request running = queue.running.at(id);
    waiting_request entry = make_paused_entry(queue, running, now);
    release_slot(queue, running, now);
    queue.waiting_locations[id] = {running.request.priority, running.request.account};
    push_front(queue.waiting.at(index_of(running.request.priority)), std::move(entry));
}

// Removes a waiting request for which a running one may be paused, and pauses that one. Only accounts within
// their fair share cause pauses; a flood of urgent work would otherwise pause whatever the others start.
std::optional<waiting_request> select_by_pausing(admission_queue& queue, core::steady_time now,
                                                 std::vector<admission_event>& events) {
    if (static_cast<double>(queue.running.size()) > std::max(1.0, queue.capacity)) {
        return std::nullopt;
    }
    for (const auto priority : {core::priority::urgent, core::priority::normal}) {
        fair_queue& waiting = queue.waiting.at(index_of(priority));
        const auto victim = waiting.size > 0 ? find_request_to_pause(queue, priority, now) : std::nullopt;
        if (!victim) {
            continue;
        }
        auto entry = pop(waiting, [&](const std::string& account) {
            return is_within_fair_share(queue, priority, account);
        });
        if (entry) {
            pause_request(queue, *victim, now);
            events.push_back({*victim, std::nullopt, admission_action::pause});
            return entry;
        }
    }
    return std::nullopt;
}

core::error make_refusal_error(error_kind kind, const admission_queue& queue,
                               const admission_request& request) {
    const std::string work_description =
        std::string(core::to_string(request.priority)) + " work of account \"" + request.account + "\"";
    const auto wait = core::to_ms(expected_wait(queue, request));
    const std::string message = kind == error_kind::overloaded
                                    ? "the queue for " + work_description + " is full"
                                    : work_description + " can't be served in time; the expected wait is " +
                                          std::to_string(wait.count()) + " ms";
    const auto min_retry_after = core::error_answer_for(kind).retry_after.value_or(core::milliseconds(0));
    return {kind, message, std::max(min_retry_after, wait)};
}

admission_event make_refusal_event(error_kind kind, const admission_queue& queue,
                                   const admission_request& request) {
    return {request.id, make_refusal_error(kind, queue, request), admission_action::refuse};
}

void refuse_expired(admission_queue& queue, core::steady_time now, std::vector<admission_event>& events) {
    if (now - queue.expiry_checked_at < expiry_check_interval) {
        return;
    }
    queue.expiry_checked_at = now;
    for (auto& waiting : queue.waiting) {
        for (const auto& entry : remove_expired(waiting, now)) {
            queue.waiting_locations.erase(entry.request.id);
            events.push_back(make_refusal_event(error_kind::deadline_unreachable, queue, entry.request));
        }
    }
}

// Value of the request at a position (from 1) of its account's queue; it falls as that queue grows.
double marginal_value(double value, double weight, std::size_t position) {
    return value * weight / static_cast<double>(position);
}

// Removes a request from the account with the longest queue relative to its weight, if that request has a
// lower marginal value than the new one.
std::optional<waiting_request> displace(fair_queue& waiting, const admission_request& request) {
    const auto longest =
        std::max_element(waiting.accounts.begin(), waiting.accounts.end(), [](const auto& a, const auto& b) {
            return static_cast<double>(a.second.entries.size()) / a.second.weight <
                   static_cast<double>(b.second.entries.size()) / b.second.weight;
        });
    const std::size_t own_count = waiting.accounts[request.account].entries.size();
    const double value = marginal_value(request.value, request.weight, own_count + 1);
    const auto& entries = longest->second.entries;
    for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
        // A paused request has run in part, so it can't be refused as one that didn't run.
        if (it->pauses == 0 &&
            marginal_value(it->request.value, longest->second.weight, entries.size()) < value) {
            return remove(waiting, longest->first, it->request.id);
        }
    }
    return std::nullopt;
}

// Makes room for a request in a bounded queue. Returns false if its account has reached its limit, or if the
// queue is full and no waiting request can be displaced.
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
        queue.waiting_locations.erase(removed->request.id);
        displaced = make_refusal_event(error_kind::overloaded, queue, removed->request);
    }
    return removed.has_value();
}

admission_decision enqueue(admission_queue& queue, const admission_request& request, core::steady_time latest,
                           core::steady_time now) {
    admission_decision decision;
    if (!make_room(queue, request, decision.displaced)) {
        decision.error = make_refusal_error(error_kind::overloaded, queue, request);
        return decision;
    }
    queue.waiting_locations[request.id] = {request.priority, request.account};
    push(queue.waiting.at(index_of(request.priority)), {request, now, latest, 0});
    decision.state = admission_state::queued;
    return decision;
}

// Returns whether the account of the request already has requests of this priority waiting.
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
    queue.shares.updated_at = now;
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
    update_shares(queue, now);
    queue.capacity = std::max(0.0, capacity);
}

admission_decision submit(admission_queue& queue, const admission_request& original, core::steady_time now) {
    update_shares(queue, now);
    const admission_request request = normalise_request(queue, original);
    record_request(queue, request, now);
    // The run margin applies only to requests that wait: one that can start now is refused only if it is
    // expected to miss its deadline.
    const bool late = latest_start(queue, request, now, 1) < now;
    if (!late && !has_waiting(queue, request) && can_start(queue, request, 0)) {
        start(queue, {request, now, now, 0}, false, now);
        return {admission_state::admitted, std::nullopt, std::nullopt};
    }
    const auto latest = latest_start(queue, request, now, queue.settings.run_margin);
    if (late || now + expected_wait(queue, request) > latest) {
        return {admission_state::refused,
                make_refusal_error(error_kind::deadline_unreachable, queue, request),
                {}};
    }
    return enqueue(queue, request, latest, now);
}

std::vector<admission_event> dispatch(admission_queue& queue, core::steady_time now) {
    update_shares(queue, now);
    std::vector<admission_event> events;
    refuse_expired(queue, now, events);
    while (true) {
        auto entry = select_waiting(queue);
        if (!entry) {
            entry = select_by_pausing(queue, now, events);
        }
        if (!entry) {
            return events;
        }
        queue.waiting_locations.erase(entry->request.id);
        if (entry->latest_start < now) {
            events.push_back(make_refusal_event(error_kind::deadline_unreachable, queue, entry->request));
            continue;
        }
        start(queue, *entry, true, now);
        events.push_back({entry->request.id, std::nullopt, admission_action::start});
    }
}

bool cancel(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const auto found = queue.waiting_locations.find(id);
    if (found == queue.waiting_locations.end()) {
        return false;
    }
    update_shares(queue, now);
    remove(queue.waiting.at(index_of(found->second.priority)), found->second.account, id);
    queue.waiting_locations.erase(found);
    return true;
}

bool finish(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const auto found = queue.running.find(id);
    if (found == queue.running.end()) {
        return false;
    }
    update_shares(queue, now);
    const running_request running = found->second;
    const double slot_time_s = release_slot(queue, running, now);
    constexpr double decay = 0.98; // a mean over about the last 50 requests
    const double ratio = slot_time_s / std::max(running.request.work, 1e-3);
    queue.slowdown = decay * queue.slowdown + (1 - decay) * std::clamp(ratio, 0.1, 10.0);
    record_event(queue.completion_rate, now);
    return true;
}

std::size_t waiting_count(const admission_queue& queue) {
    return queue.waiting_locations.size();
}

} // namespace figspoke::policy
