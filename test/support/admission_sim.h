#pragma once

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/admission_queue.h"

/// Simulates one admission queue in front of servers with heavy-tailed service times, in virtual time.
namespace figspoke::test {

/// Poisson arrivals of one account.
struct sim_stream {
    core::priority priority = core::priority::normal;
    std::string account;
    /// Offered load as a fraction of the capacity; over 1 exceeds it.
    double load = 0;
    double mean_work_s = 2;
    /// The deadline is at this slack plus five times the expected work after arrival.
    double slack_s = 10;
    double weight = 1;
    bool pausable = false;
};

struct sim_settings {
    policy::admission_settings admission;
    double slots = 14;
    double warm_up_s = 30;
    double duration_s = 300;
    unsigned seed = 1;
};

struct sim_request {
    policy::admission_request request;
    std::size_t stream = 0;
    double arrived_s = 0;
    double actual_s = 0;
    double prefill_s = 0;
    /// Remaining slot time, and the slot time received in the measured period without the cost of resuming.
    double remaining_s = 0;
    double received_s = 0;
    double started_s = 0;
    /// Number of starts; a completion that an earlier start has scheduled is ignored.
    std::uint64_t starts = 0;
};

/// Assumed time to first token of a refused request, since its caller would retry much later.
constexpr double refused_first_token_s = 60;

/// Statistics of one stream after the warm-up.
struct stream_stats {
    std::vector<double> first_token_s;
    /// Number of requests that arrived, and of those that were refused.
    double offered = 0;
    double refused = 0;
    /// Slot-seconds served, and those of requests that finished before their deadline.
    double served_s = 0;
    double in_time_s = 0;
};

struct sim_event {
    double at_s = 0;
    bool is_arrival = false;
    /// Index of the stream of an arrival, or id of a request that completes.
    std::uint64_t target = 0;
    /// Number of the start that scheduled a completion.
    std::uint64_t start = 0;
    bool operator>(const sim_event& other) const { return at_s > other.at_s; }
};

struct simulation {
    sim_settings settings;
    std::vector<sim_stream> streams;
    policy::admission_queue queue;
    std::mt19937_64 random;
    std::unordered_map<std::uint64_t, sim_request> requests;
    std::priority_queue<sim_event, std::vector<sim_event>, std::greater<>> events;
    std::vector<stream_stats> stats;
    std::uint64_t last_id = 0;
    double now_s = 0;
};

inline core::steady_time sim_time(double at_s) {
    return core::steady_time(std::chrono::hours(1)) +
           std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at_s));
}

/// Returns a sample of a lognormal distribution with mean 1.
inline double sample_lognormal(simulation& sim, double sigma) {
    return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(sim.random);
}

inline void schedule_arrival(simulation& sim, std::size_t stream) {
    const auto& source = sim.streams[stream];
    const double rate = source.load * sim.settings.slots / source.mean_work_s;
    sim.events.push({sim.now_s + std::exponential_distribution<double>(rate)(sim.random), true, stream, 0});
}

inline bool is_measured(const simulation& sim, const sim_request& request) {
    return request.arrived_s >= sim.settings.warm_up_s;
}

inline void record_first_token(simulation& sim, std::uint64_t id, double first_token_s, bool refused) {
    const sim_request& request = sim.requests.at(id);
    stream_stats& stats = sim.stats[request.stream];
    if (is_measured(sim, request)) {
        stats.first_token_s.push_back(first_token_s);
        stats.offered += 1;
        stats.refused += refused ? 1 : 0;
    }
}

/// Slot time that it takes to resume a paused request.
constexpr double resume_cost_s = 0.3;

/// Adds the slot time of the current run that lies in the measured period.
inline void end_run(simulation& sim, sim_request& request) {
    const double run_s = sim.now_s - request.started_s;
    const double counted = sim.now_s - std::max(request.started_s, sim.settings.warm_up_s);
    sim.stats[request.stream].served_s += std::max(0.0, counted);
    request.received_s += std::max(0.0, counted - (request.starts > 1 ? resume_cost_s : 0));
    request.remaining_s -= run_s;
}

inline void apply_event(simulation& sim, const policy::admission_event& event) {
    sim_request& request = sim.requests.at(event.id);
    if (event.action == policy::admission_action::pause) {
        end_run(sim, request);
        request.remaining_s += resume_cost_s;
        return;
    }
    const bool refused = event.action == policy::admission_action::refuse;
    if (request.starts == 0) {
        const double first_token_s = sim.now_s - request.arrived_s + request.prefill_s;
        record_first_token(sim, event.id, refused ? refused_first_token_s : first_token_s, refused);
    }
    if (refused) {
        sim.requests.erase(event.id);
        return;
    }
    request.started_s = sim.now_s;
    sim.events.push({sim.now_s + request.remaining_s, false, event.id, ++request.starts});
}

inline void handle_arrival(simulation& sim, std::size_t stream) {
    const auto& source = sim.streams[stream];
    sim_request request;
    request.stream = stream;
    request.arrived_s = sim.now_s;
    request.request.id = ++sim.last_id;
    request.request.priority = source.priority;
    request.request.account = source.account;
    request.request.weight = source.weight;
    request.request.work = source.mean_work_s * std::min(sample_lognormal(sim, 1.0), 30.0);
    request.request.deadline = sim_time(sim.now_s + source.slack_s + 5 * request.request.work);
    request.actual_s = request.request.work * sample_lognormal(sim, 0.5);
    request.remaining_s = request.actual_s;
    request.prefill_s = 0.2 * sample_lognormal(sim, 0.4);
    request.request.pausable = source.pausable;
    sim.requests[sim.last_id] = request;
    schedule_arrival(sim, stream);
    const auto decision = policy::submit(sim.queue, request.request, sim_time(sim.now_s));
    if (decision.displaced) {
        apply_event(sim, *decision.displaced);
    }
    if (decision.state != policy::admission_state::queued) {
        const bool refused = decision.state == policy::admission_state::refused;
        apply_event(sim, {request.request.id, decision.error,
                          refused ? policy::admission_action::refuse : policy::admission_action::start});
    }
}

inline void handle_completion(simulation& sim, const sim_event& event) {
    const auto found = sim.requests.find(event.target);
    if (found == sim.requests.end() || found->second.starts != event.start ||
        !policy::finish(sim.queue, event.target, sim_time(sim.now_s))) {
        return;
    }
    sim_request& request = found->second;
    end_run(sim, request);
    const bool in_time = sim_time(sim.now_s) <= *request.request.deadline;
    sim.stats[request.stream].in_time_s += in_time ? request.received_s : 0;
    sim.requests.erase(found);
}

/// Adds the slot time of requests that are still running at the end.
inline void end_all_runs(simulation& sim) {
    for (const auto& [id, running] : sim.queue.running) {
        end_run(sim, sim.requests.at(id));
    }
}

/// Simulates the streams and returns the statistics of each.
inline std::vector<stream_stats> simulate(const sim_settings& settings,
                                          const std::vector<sim_stream>& streams) {
    simulation sim;
    sim.settings = settings;
    sim.streams = streams;
    sim.stats.resize(streams.size());
    sim.random.seed(settings.seed);
    sim.queue = policy::make_admission_queue(settings.admission, settings.slots, sim_time(0));
    for (std::size_t i = 0; i < streams.size(); ++i) {
        schedule_arrival(sim, i);
    }
    const double end_s = settings.warm_up_s + settings.duration_s;
    double next_tick_s = 0;
    while (sim.events.top().at_s < end_s) {
        const sim_event event = sim.events.top();
        if (next_tick_s < event.at_s) {
            sim.now_s = next_tick_s;
            next_tick_s += 0.05;
        } else {
            sim.events.pop();
            sim.now_s = event.at_s;
            event.is_arrival ? handle_arrival(sim, event.target) : handle_completion(sim, event);
        }
        for (const auto& queue_event : policy::dispatch(sim.queue, sim_time(sim.now_s))) {
            apply_event(sim, queue_event);
        }
    }
    sim.now_s = end_s;
    end_all_runs(sim);
    return sim.stats;
}

/// Returns the 95th percentile of the time to first token over the streams that the filter accepts.
template <class Filter>
double first_token_p95(const std::vector<sim_stream>& streams, const std::vector<stream_stats>& stats,
                       Filter accepts) {
    std::vector<double> all;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        if (accepts(streams[i])) {
            all.insert(all.end(), stats[i].first_token_s.begin(), stats[i].first_token_s.end());
        }
    }
    const auto position =
        all.begin() + static_cast<std::ptrdiff_t>(0.95 * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), position, all.end());
    return *position;
}

} // namespace figspoke::test
