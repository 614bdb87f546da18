#include "policy/relay_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/erase_where.h"

namespace figspoke::policy {
namespace {

const service_queue* find_service(const relay_queue& queue, const std::string& service) {
    const auto found = queue.services.find(service);
    return found == queue.services.end() ? nullptr : &found->second;
}

const rank_queue* find_rank(const relay_queue& queue, const std::string& service, int rank) {
    const auto* known = find_service(queue, service);
    if (known == nullptr) {
        return nullptr;
    }
    const auto found = known->ranks.find(rank);
    return found == known->ranks.end() ? nullptr : &found->second;
}

double ms(core::nanoseconds duration) {
    return 1000 * core::to_seconds(duration);
}

bool is_late(const queued_request& request, core::steady_time now) {
    return !request.continues && now > request.on_time_until;
}

double start_tag(const rank_queue& rank, const queued_request& request) {
    const auto found = rank.finish_ms.find(request.account);
    return request.continues || found == rank.finish_ms.end() ? rank.virtual_ms
                                                              : std::max(rank.virtual_ms, found->second);
}

auto order_in_rank(const waiting_entry& entry, const relay_queue_settings& settings, core::steady_time now) {
    const auto& request = entry.request;
    const bool late = is_late(request, now);
    const double part =
        std::floor(entry.tag_ms / double(std::max<std::int64_t>(settings.quantum.count(), 1)));
    return std::make_tuple(!request.continues, late, part, late ? request.serve_until : request.on_time_until,
                           request.since, request.id);
}

const waiting_entry& next_of_rank(const rank_queue& rank, const relay_queue_settings& settings,
                                  core::steady_time now) {
    const bool late_owed = rank.late_skipped + 1 >= int(std::lround(1 / std::max(settings.late_floor, 0.01)));
    const auto before = [&](const auto& a, const auto& b) {
        const bool a_late = is_late(a.second.request, now);
        if (late_owed && a_late != is_late(b.second.request, now)) {
            return a_late;
        }
        return order_in_rank(a.second, settings, now) < order_in_rank(b.second, settings, now);
    };
    return std::min_element(rank.waiting.begin(), rank.waiting.end(), before)->second;
}

// A rank is owed a start where the others took the rest of its floor since its last one, and where it has
// started nothing for as long as its callers accept to wait.
bool is_owed(const rank_queue& rank, const waiting_entry& next, const relay_queue_settings& settings,
             core::steady_time now) {
    const double floor = std::clamp(settings.rank_floor, 0.001, 1.0);
    const double owed_after = (1 - floor) / floor * double(next.request.work.count());
    const bool starved = now - std::max(rank.last_start, next.request.since) >= next.request.latency_target &&
                         next.request.latency_target.count() > 0;
    return starved || (rank.skipped_ms > 0 && rank.skipped_ms >= owed_after);
}

void advance(queue_drain& drain, const relay_queue_settings& settings, core::steady_time now) {
    const double passed = std::max(ms(now - drain.updated_at), 0.0);
    const double kept = std::exp(-passed / double(std::max<std::int64_t>(settings.averaging.count(), 1)));
    drain.started_ms *= kept;
    drain.observed_ms = drain.observed_ms * kept + passed;
    drain.updated_at = now;
}

double waiting_work(const rank_queue& rank) {
    double work = 0;
    for (const auto& [id, entry] : rank.waiting) {
        work += double(entry.request.work.count());
    }
    return work;
}

// Returns the work that starts before the request, itself included, of its own rank and of more urgent ones.
struct work_ahead {
    double own_rank_ms = 0;
    double urgent_ms = 0;
};

work_ahead work_before(const service_queue& known, const relay_queue_settings& settings,
                       const queued_request& request, core::steady_time now) {
    work_ahead ahead;
    ahead.own_rank_ms = double(request.work.count());
    for (const auto& [rank, waiting] : known.ranks) {
        if (rank < request.rank) {
            ahead.urgent_ms += waiting_work(waiting);
        }
        if (rank != request.rank) {
            continue;
        }
        const auto own = waiting.waiting.find(request.id);
        const waiting_entry self =
            own == waiting.waiting.end() ? waiting_entry{request, start_tag(waiting, request)} : own->second;
        const auto position = order_in_rank(self, settings, now);
        for (const auto& [id, entry] : waiting.waiting) {
            if (id != request.id && order_in_rank(entry, settings, now) < position) {
                ahead.own_rank_ms += double(entry.request.work.count());
            }
        }
    }
    return ahead;
}

// Returns the work started per time while requests waited. One more request is counted than was started: as
// long as nothing starts, the next start is expected after the time that has passed already.
std::optional<double> drain_rate(const service_queue& known, const relay_queue_settings& settings,
                                 const queued_request& request, core::steady_time now) {
    auto drain = known.drain;
    advance(drain, settings, now);
    if (now - drain.since < settings.min_observation) {
        return std::nullopt;
    }
    const double observed = std::max(drain.observed_ms, ms(now - drain.last_start));
    return (drain.started_ms + double(request.work.count())) / observed;
}

void forget_if_empty(relay_queue& queue, const std::string& service, int rank) {
    auto& known = queue.services[service];
    if (const auto found = known.ranks.find(rank);
        found != known.ranks.end() && found->second.waiting.empty()) {
        known.ranks.erase(found);
    }
    if (known.ranks.empty()) {
        queue.services.erase(service);
    }
}

std::optional<int> rank_of(const relay_queue& queue, const std::string& service, std::uint64_t id) {
    if (const auto* known = find_service(queue, service)) {
        for (const auto& [rank, waiting] : known->ranks) {
            if (waiting.waiting.count(id) > 0) {
                return rank;
            }
        }
    }
    return std::nullopt;
}

} // namespace

bool add_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request) {
    if (waiting_count(queue, service, request.rank) >= settings.max_waiting) {
        return false;
    }
    const bool first = find_service(queue, service) == nullptr;
    auto& known = queue.services[service];
    if (first) {
        known.drain.since = known.drain.updated_at = known.drain.last_start = request.since;
    }
    auto& rank = known.ranks[request.rank];
    if (rank.waiting.empty()) {
        rank.last_start = request.since;
    }
    const double tag = start_tag(rank, request);
    rank.finish_ms[request.account] = tag + double(request.work.count());
    rank.waiting[request.id] = {request, tag};
    return true;
}

std::optional<std::uint64_t> request_to_displace(const relay_queue& queue, const std::string& service,
                                                 const queued_request& request) {
    const auto* rank = find_rank(queue, service, request.rank);
    if (rank == nullptr) {
        return std::nullopt;
    }
    std::map<std::string, double> work;
    work[request.account] = double(request.work.count());
    for (const auto& [id, entry] : rank->waiting) {
        work[entry.request.account] += double(entry.request.work.count());
    }
    const auto largest = std::max_element(work.begin(), work.end(), [](const auto& a, const auto& b) {
                             return a.second < b.second;
                         })->first;
    if (largest == request.account) {
        return std::nullopt;
    }
    const waiting_entry* last = nullptr;
    for (const auto& [id, entry] : rank->waiting) {
        const bool candidate = entry.request.account == largest && !entry.request.continues;
        if (candidate && (last == nullptr || entry.tag_ms >= last->tag_ms)) {
            last = &entry;
        }
    }
    return last == nullptr ? std::nullopt : std::make_optional(last->request.id);
}

void remove_waiting(relay_queue& queue, const std::string& service, std::uint64_t id) {
    if (const auto rank = rank_of(queue, service, id)) {
        auto& waiting = queue.services[service].ranks[*rank];
        const auto& request = waiting.waiting[id].request;
        waiting.finish_ms[request.account] -= double(request.work.count());
        waiting.waiting.erase(id);
        forget_if_empty(queue, service, *rank);
    }
}

void start_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                   std::uint64_t id, core::steady_time now) {
    const auto found = rank_of(queue, service, id);
    if (!found) {
        return;
    }
    auto& known = queue.services[service];
    auto& rank = known.ranks[*found];
    const auto entry = rank.waiting[id];
    const auto work = double(entry.request.work.count());
    rank.waiting.erase(id);
    // Late requests may start before others with smaller tags, so the time follows the smallest one.
    double smallest = entry.tag_ms;
    for (const auto& [other, waiting] : rank.waiting) {
        smallest = std::min(smallest, waiting.tag_ms);
    }
    rank.virtual_ms = std::max(rank.virtual_ms, smallest);
    core::erase_where(rank.finish_ms, [&](double finish, const auto&) { return finish <= rank.virtual_ms; });
    rank.skipped_ms = 0;
    rank.last_start = now;
    const bool late_waits = std::any_of(rank.waiting.begin(), rank.waiting.end(), [&](const auto& other) {
        return is_late(other.second.request, now);
    });
    rank.late_skipped = late_waits && !is_late(entry.request, now) ? rank.late_skipped + 1 : 0;
    for (auto& [other, waiting] : known.ranks) {
        waiting.skipped_ms += other == *found ? 0 : work;
    }
    advance(known.drain, settings, now);
    known.drain.started_ms += work;
    known.drain.last_start = now;
    forget_if_empty(queue, service, *found);
}

bool is_waiting(const relay_queue& queue, const std::string& service, std::uint64_t id) {
    return rank_of(queue, service, id).has_value();
}

std::optional<std::uint64_t> next_waiting(const relay_queue& queue, const relay_queue_settings& settings,
                                          const std::string& service, core::steady_time now) {
    const auto* known = find_service(queue, service);
    if (known == nullptr) {
        return std::nullopt;
    }
    std::optional<std::uint64_t> most_urgent;
    for (const auto& [rank, waiting] : known->ranks) {
        if (waiting.waiting.empty()) {
            continue;
        }
        const auto& next = next_of_rank(waiting, settings, now);
        if (is_owed(waiting, next, settings, now)) {
            return next.request.id;
        }
        most_urgent = most_urgent ? most_urgent : next.request.id;
    }
    return most_urgent;
}

std::optional<core::milliseconds> expected_wait(const relay_queue& queue,
                                                const relay_queue_settings& settings,
                                                const std::string& service, const queued_request& request,
                                                core::steady_time now) {
    const auto* known = find_service(queue, service);
    const auto rate = known == nullptr ? std::nullopt : drain_rate(*known, settings, request, now);
    if (!rate) {
        return std::nullopt;
    }
    const auto ahead = work_before(*known, settings, request, now);
    const double by_rank = (ahead.own_rank_ms + ahead.urgent_ms) / *rate;
    const double by_floor = ahead.own_rank_ms / (*rate * std::clamp(settings.rank_floor, 0.001, 1.0));
    constexpr double longest_ms = 3'600'000;
    return core::milliseconds(std::int64_t(std::min({by_rank, by_floor, longest_ms})));
}

bool is_hopeless(const relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request, core::steady_time now) {
    if (now >= request.serve_until) {
        return true;
    }
    const auto wait = expected_wait(queue, settings, service, request, now);
    return !request.continues && wait &&
           settings.refusal_confidence * double(wait->count()) > ms(request.serve_until - now);
}

core::milliseconds return_time(relay_queue& queue, const relay_queue_settings& settings,
                               const std::string& service, const queued_request& request,
                               core::milliseconds time_left, double draw, core::steady_time now) {
    const double left = double(std::max<std::int64_t>(time_left.count(), 0));
    const double latest =
        std::max(std::min(settings.max_return_part * left, left - double(request.work.count())), 0.0);
    const auto found = queue.services.find(service);
    const auto wait = expected_wait(queue, settings, service, request, now);
    if (found == queue.services.end() || !wait) {
        return core::milliseconds(std::int64_t(latest * (0.25 + 0.5 * draw)));
    }
    const auto rate = drain_rate(found->second, settings, request, now).value_or(1);
    core::erase_where(queue.returns_until,
                      [&](core::steady_time until, const auto&) { return until <= now; });
    auto& returns_until = queue.returns_until[{service, request.rank}];
    const auto begin = std::max<core::steady_time>(now + *wait, returns_until);
    const double turn_ms = std::min(double(request.work.count()) / rate, latest);
    const double pause = ms(begin - now) + draw * turn_ms;
    if (pause > latest) {
        // No place in the order is left before the caller's time ends; a spread return is the best chance.
        return core::milliseconds(std::int64_t(latest * (0.5 + 0.5 * draw)));
    }
    returns_until = begin + core::milliseconds(std::int64_t(turn_ms));
    return core::milliseconds(std::int64_t(pause));
}

std::size_t waiting_count(const relay_queue& queue, const std::string& service) {
    const auto* known = find_service(queue, service);
    std::size_t count = 0;
    if (known != nullptr) {
        for (const auto& [rank, waiting] : known->ranks) {
            count += waiting.waiting.size();
        }
    }
    return count;
}

std::size_t waiting_count(const relay_queue& queue, const std::string& service, int rank) {
    const auto* known = find_rank(queue, service, rank);
    return known == nullptr ? 0 : known->waiting.size();
}

} // namespace figspoke::policy
