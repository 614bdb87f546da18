#include "policy/admission_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/admission_pause.h"
#include "policy/admission_wait.h"

namespace figspoke::policy {
namespace {

using core::error_kind;

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
    queue.updated = std::max(queue.updated, now);
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
        result.pausable = false;
    }
    return result;
}

void note_request(admission_queue& queue, const admission_request& request, core::steady_time now) {
    note_arrival(queue.activities.at(index_of(request.priority)), request, queue.capacity, now);
    if (request.priority == core::priority::urgent) {
        note_event(queue.urgent_arrivals, now);
    }
}

bool is_light(const admission_queue& queue, core::priority priority, const std::string& account) {
    return !is_heavy(queue.activities.at(index_of(priority)), account, queue.capacity, queue.updated);
}

bool is_pausable(const admission_queue& queue, const admission_request& request, int pauses) {
    return request.pausable && pauses < queue.settings.max_pauses;
}

// Slots of less urgent work above its floor that pausing would free at once: they count as headroom.
// Otherwise work that has to leave headroom would be kept out by less urgent work that needn't.
double slots_by_pausing(const admission_queue& queue, core::priority priority) {
    double slots = 0;
    for (std::size_t i = index_of(priority) + 1; i < core::priority_count; ++i) {
        const double above = static_cast<double>(queue.shares.priorities.at(i).running) -
                             queue.settings.floors.at(i) * queue.capacity;
        slots +=
            std::min(static_cast<double>(queue.pausable_running.at(i)), std::max(0.0, std::floor(above)));
    }
    return slots;
}

// A slot that is taken can't be given back before its request ends, unless the request can be paused. A few
// are therefore left free by work that has its share already, so that urgent requests and light accounts
// needn't wait for one.
double slots_left_free(const admission_queue& queue, const admission_request& request, int pauses) {
    const bool urgent = request.priority == core::priority::urgent;
    if (!urgent && is_below_floor(queue.shares, queue.settings, queue.capacity, request.priority)) {
        return 0;
    }
    if (is_pausable(queue, request, pauses)) {
        return 0;
    }
    double protected_rate = urgent ? 0 : rate_at(queue.urgent_arrivals, queue.updated);
    if (!is_light(queue, request.priority, request.account)) {
        protected_rate +=
            rate_at(queue.activities.at(index_of(request.priority)).light_arrivals, queue.updated);
    }
    const auto most = static_cast<std::size_t>(std::lround(queue.settings.headroom * queue.capacity));
    const auto needed = static_cast<double>(slots_for_arrivals(
        protected_rate, rate_at(queue.completions, queue.updated), queue.settings.tolerated_wait, most));
    return std::max(0.0, needed - slots_by_pausing(queue, request.priority));
}

bool has_slots(const admission_queue& queue, double left_free) {
    // A node whose share of the fleet is less than one slot still runs one request at a time.
    const double capacity = queue.capacity > 0 ? std::max(1.0, queue.capacity) : 0;
    return static_cast<double>(queue.running.size()) + 1 + left_free <= capacity;
}

bool can_start(const admission_queue& queue, const admission_request& request, int pauses) {
    return has_slots(queue, 0) && has_slots(queue, slots_left_free(queue, request, pauses));
}

void start(admission_queue& queue, const waiting_request& entry, bool charged, core::steady_time now) {
    queue.running[entry.request.id] = {entry.request, now, entry.pauses, charged};
    const std::size_t index = index_of(entry.request.priority);
    ++queue.shares.priorities.at(index).running;
    queue.pausable_running.at(index) += is_pausable(queue, entry.request, entry.pauses) ? 1 : 0;
}

std::optional<waiting_request> pop_startable(admission_queue& queue, core::priority priority) {
    fair_queue& waiting = queue.waiting.at(index_of(priority));
    if (waiting.size == 0 || !has_slots(queue, 0)) {
        return std::nullopt;
    }
    return pop(waiting, [&](const std::string& account) {
        const waiting_request& head = waiting.accounts.at(account).entries.front();
        return can_start(queue, head.request, head.pauses);
    });
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

// Ends the time of a request in its slot; returns the time.
double release_slot(admission_queue& queue, const running_request& running, core::steady_time now) {
    const admission_request& request = running.request;
    const std::size_t index = index_of(request.priority);
    const double actual = core::to_seconds(now - running.started);
    if (running.charged) {
        settle(queue.waiting.at(index), request.account, actual - request.work);
    }
    --queue.shares.priorities.at(index).running;
    queue.pausable_running.at(index) -= is_pausable(queue, request, running.pauses) ? 1 : 0;
    queue.running.erase(request.id);
    return actual;
}

void pause(admission_queue& queue, std::uint64_t id, core::steady_time now) {
    const running_request running = queue.running.at(id);
    waiting_request entry = paused_entry(queue, running, now);
    release_slot(queue, running, now);
    queue.waiting_places[id] = {running.request.priority, running.request.account};
    push_front(queue.waiting.at(index_of(running.request.priority)), std::move(entry));
}

// Takes the next request for which another may be paused and frees a slot for it. Only accounts that ask for
// no more than their share cause pauses; a flood of urgent work would otherwise pause whatever the others
// start.
std::optional<waiting_request> select_by_pausing(admission_queue& queue, core::steady_time now,
                                                 std::vector<admission_event>& events) {
    if (static_cast<double>(queue.running.size()) > std::max(1.0, queue.capacity)) {
        return std::nullopt;
    }
    for (const auto priority : {core::priority::urgent, core::priority::normal}) {
        fair_queue& waiting = queue.waiting.at(index_of(priority));
        const auto victim = waiting.size > 0 ? find_pausable(queue, priority, now) : std::nullopt;
        if (!victim) {
            continue;
        }
        auto entry =
            pop(waiting, [&](const std::string& account) { return is_light(queue, priority, account); });
        if (entry) {
            pause(queue, *victim, now);
            events.push_back({*victim, std::nullopt, admission_action::pause});
            return entry;
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

admission_event refused_event(error_kind kind, const admission_queue& queue,
                              const admission_request& request) {
    return {request.id, refusal(kind, queue, request), admission_action::refuse};
}

void collect_expired(admission_queue& queue, core::steady_time now, std::vector<admission_event>& events) {
    if (now - queue.swept < sweep_interval) {
        return;
    }
    queue.swept = now;
    for (auto& waiting : queue.waiting) {
        for (const auto& entry : remove_expired(waiting, now)) {
            queue.waiting_places.erase(entry.request.id);
            events.push_back(refused_event(error_kind::deadline_unreachable, queue, entry.request));
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
        // A paused request has run in part, so it isn't refused as if it hadn't.
        if (it->pauses == 0 &&
            marginal_worth(it->request.worth, longest->second.weight, entries.size()) < worth) {
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
        displaced = refused_event(error_kind::overloaded, queue, removed->request);
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
    push(queue.waiting.at(index_of(request.priority)), {request, now, latest, 0});
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
    note_request(queue, request, now);
    // The margin holds for requests that wait: one that can start now is refused only if it is expected to be
    // late.
    const bool late = latest_start(queue, request, now, 1) < now;
    if (!late && !has_waiting(queue, request) && can_start(queue, request, 0)) {
        start(queue, {request, now, now, 0}, false, now);
        return {admission_state::admitted, std::nullopt, std::nullopt};
    }
    const auto latest = latest_start(queue, request, now, queue.settings.run_margin);
    if (late || now + expected_wait(queue, request) > latest) {
        return {admission_state::refused, refusal(error_kind::deadline_unreachable, queue, request), {}};
    }
    return enqueue(queue, request, latest, now);
}

std::vector<admission_event> next(admission_queue& queue, core::steady_time now) {
    advance_to(queue, now);
    std::vector<admission_event> events;
    collect_expired(queue, now, events);
    while (true) {
        auto entry = select(queue);
        if (!entry) {
            entry = select_by_pausing(queue, now, events);
        }
        if (!entry) {
            return events;
        }
        queue.waiting_places.erase(entry->request.id);
        if (entry->latest_start < now) {
            events.push_back(refused_event(error_kind::deadline_unreachable, queue, entry->request));
            continue;
        }
        start(queue, *entry, true, now);
        events.push_back({entry->request.id, std::nullopt, admission_action::start});
    }
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
    const running_request running = found->second;
    const double actual = release_slot(queue, running, now);
    constexpr double keep = 0.98; // about the last 50 requests
    const double ratio = actual / std::max(running.request.work, 1e-3);
    queue.slowdown = keep * queue.slowdown + (1 - keep) * std::clamp(ratio, 0.1, 10.0);
    note_event(queue.completions, now);
    return true;
}

std::size_t waiting_count(const admission_queue& queue) {
    return queue.waiting_places.size();
}

} // namespace figspoke::policy
