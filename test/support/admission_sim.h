#pragma once

#include <algorithm>
#include <cmath>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/admission_queue.h"

/// A queue stand-in: servers with heavy-tailed service times behind one admission queue, in virtual time.
namespace figspoke::test {

/// Poisson arrivals of one account.
struct sim_stream {
    core::priority priority = core::priority::normal;
    std::string account;
    /// Offered work as a share of capacity.
    double load = 0;
    double mean_work_s = 2;
    /// The deadline is the slack and five times the expected work after arrival.
    double slack_s = 10;
    double weight = 1;
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
};

/// What a refused request counts for in times to first token: its caller would come back much later.
constexpr double refused_first_token_s = 60;

/// Figures of one stream after the warm-up.
struct sim_figures {
    std::vector<double> first_token_s;
    double offered = 0;
    double refused = 0;
    /// Slot-seconds, and those of requests that finished before their deadline.
    double served_s = 0;
    double in_time_s = 0;
};

struct sim_event {
    double at_s = 0;
    /// The stream of an arrival, or the id of a finished request.
    bool is_arrival = false;
    std::uint64_t target = 0;
    bool operator>(const sim_event& other) const { return at_s > other.at_s; }
};

struct simulation {
    sim_settings settings;
    std::vector<sim_stream> streams;
    policy::admission_queue queue;
    std::mt19937_64 random;
    std::unordered_map<std::uint64_t, sim_request> requests;
    std::priority_queue<sim_event, std::vector<sim_event>, std::greater<>> events;
    std::vector<sim_figures> figures;
    std::uint64_t last_id = 0;
    double now_s = 0;
};

inline core::steady_time sim_time(double at_s) {
    return core::steady_time(std::chrono::hours(1)) +
           std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(at_s));
}

/// Returns a sample of mean 1.
inline double lognormal(simulation& sim, double sigma) {
    return std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(sim.random);
}

inline void schedule_arrival(simulation& sim, std::size_t stream) {
    const auto& source = sim.streams[stream];
    const double rate = source.load * sim.settings.slots / source.mean_work_s;
    sim.events.push({sim.now_s + std::exponential_distribution<double>(rate)(sim.random), true, stream});
}

inline bool is_measured(const simulation& sim, const sim_request& request) {
    return request.arrived_s >= sim.settings.warm_up_s;
}

inline void note_end(simulation& sim, std::uint64_t id, double first_token_s, bool refused) {
    const sim_request& request = sim.requests.at(id);
    sim_figures& figures = sim.figures[request.stream];
    if (is_measured(sim, request)) {
        figures.first_token_s.push_back(first_token_s);
        figures.offered += 1;
        figures.refused += refused ? 1 : 0;
    }
}

inline void take_event(simulation& sim, const policy::admission_event& event) {
    if (event.error) {
        note_end(sim, event.id, refused_first_token_s, true);
        sim.requests.erase(event.id);
        return;
    }
    const sim_request& request = sim.requests.at(event.id);
    note_end(sim, event.id, sim.now_s - request.arrived_s + request.prefill_s, false);
    sim.events.push({sim.now_s + request.actual_s, false, event.id});
}

inline void arrive(simulation& sim, std::size_t stream) {
    const auto& source = sim.streams[stream];
    sim_request request;
    request.stream = stream;
    request.arrived_s = sim.now_s;
    request.request.id = ++sim.last_id;
    request.request.priority = source.priority;
    request.request.account = source.account;
    request.request.weight = source.weight;
    request.request.work = source.mean_work_s * std::min(lognormal(sim, 1.0), 30.0);
    request.request.deadline = sim_time(sim.now_s + source.slack_s + 5 * request.request.work);
    request.actual_s = request.request.work * lognormal(sim, 0.5);
    request.prefill_s = 0.2 * lognormal(sim, 0.4);
    sim.requests[sim.last_id] = request;
    schedule_arrival(sim, stream);
    const auto decision = policy::submit(sim.queue, request.request, sim_time(sim.now_s));
    if (decision.displaced) {
        take_event(sim, *decision.displaced);
    }
    if (decision.state != policy::admission_state::queued) {
        take_event(sim, {request.request.id, decision.error});
    }
}

inline void depart(simulation& sim, std::uint64_t id) {
    const sim_request request = sim.requests.at(id);
    policy::finish(sim.queue, id, sim_time(sim.now_s));
    sim.requests.erase(id);
    // Only the part of the service inside the measured time counts, so that it can't exceed capacity.
    const double counted = std::min(request.actual_s, sim.now_s - sim.settings.warm_up_s);
    if (counted > 0) {
        sim.figures[request.stream].served_s += counted;
        sim.figures[request.stream].in_time_s +=
            sim_time(sim.now_s) <= *request.request.deadline ? counted : 0;
    }
}

/// Adds the service that requests in progress have received at the end.
inline void count_running(simulation& sim) {
    for (const auto& [id, running] : sim.queue.running) {
        const double started_s = core::to_seconds(running.started - sim_time(0));
        const double counted = sim.now_s - std::max(started_s, sim.settings.warm_up_s);
        sim.figures[sim.requests.at(id).stream].served_s += counted;
    }
}

/// Runs the streams and returns one set of figures for each.
inline std::vector<sim_figures> simulate(const sim_settings& settings,
                                         const std::vector<sim_stream>& streams) {
    simulation sim;
    sim.settings = settings;
    sim.streams = streams;
    sim.figures.resize(streams.size());
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
            event.is_arrival ? arrive(sim, event.target) : depart(sim, event.target);
        }
        for (const auto& started : policy::next(sim.queue, sim_time(sim.now_s))) {
            take_event(sim, started);
        }
    }
    sim.now_s = end_s;
    count_running(sim);
    return sim.figures;
}

/// Returns the 95th percentile of the times to first token of streams that the filter accepts.
template <class Filter>
double first_token_p95(const std::vector<sim_stream>& streams, const std::vector<sim_figures>& figures,
                       Filter accepts) {
    std::vector<double> all;
    for (std::size_t i = 0; i < streams.size(); ++i) {
        if (accepts(streams[i])) {
            all.insert(all.end(), figures[i].first_token_s.begin(), figures[i].first_token_s.end());
        }
    }
    const auto position =
        all.begin() + static_cast<std::ptrdiff_t>(0.95 * static_cast<double>(all.size() - 1));
    std::nth_element(all.begin(), position, all.end());
    return *position;
}

} // namespace figspoke::test
