#include <algorithm>

#include "standins/engine_work.h"

namespace figspoke::standins {
namespace {

using adapters::http_exchange;

/// The tokens [first, last) that one call generates.
struct token_range {
    int first = 0;
    int last = 0;
    bool cut = false;
};

struct engine_speed {
    std::chrono::milliseconds delay{0};
    std::chrono::milliseconds first_token{0};
    std::chrono::milliseconds token{0};
};

engine_speed speed_of(engine& state) {
    return state.control.with([](const engine_control& fields) {
        return engine_speed{std::chrono::milliseconds(fields.delay_ms),
                            std::chrono::milliseconds(fields.first_token_ms),
                            std::chrono::milliseconds(fields.token_ms)};
    });
}

token_range range_of(const engine& state, const chat_request& request) {
    const int count = token_count(request, state.start.length);
    return {std::min(request.resume_from, count), count, count == request.max_tokens};
}

// A prefix that is cached saves its part of four fifths of the time to the first token.
std::chrono::milliseconds first_token_time(engine& state, const chat_request& request,
                                           std::chrono::milliseconds uncached) {
    const auto prefixes = prompt_prefixes(request.version, request.prompt);
    const auto now = std::chrono::steady_clock::now();
    const auto found = state.cache.with(
        [&](prefix_cache& cache) { return use_prefixes(cache, request.version, prefixes, now); });
    state.counts.with([&](engine_counts& counts) {
        counts.prompt_tokens += static_cast<std::uint64_t>(prompt_tokens(request));
        counts.cached_prompt_tokens += found / bytes_per_token;
    });
    const double fraction =
        static_cast<double>(found) / static_cast<double>(std::max<std::size_t>(1, request.prompt.size()));
    return std::chrono::milliseconds(
        static_cast<std::int64_t>(static_cast<double>(uncached.count()) * (1 - 0.8 * fraction)));
}

void run_whole(engine_work& work, const chat_request& request, const token_range& range,
               std::chrono::milliseconds token_time) {
    const int generated = range.last - range.first;
    if (!work.state.jobs.work(*work.job, token_time * std::max(0, generated - 1), work.exchange.yield())) {
        return record_progress(work, 0, "lost");
    }
    record_progress(work, generated, "done");
    answer_work(
        work, json_reply(200, whole_answer(request, range.first, range.last, work.faults.wrong, range.cut)));
}

// Returns the outcome of the stream; an unfinished stream is closed when its handler returns.
std::string stream_tokens(engine_work& work, const chat_request& request, const token_range& range,
                          std::chrono::milliseconds token_time) {
    for (int i = range.first; i < range.last; ++i) {
        const int sent = i - range.first;
        if (work.faults.cut_after >= 0 && sent >= work.faults.cut_after) {
            return "lost";
        }
        if (sent > 0 && !work.state.jobs.work(*work.job, token_time, work.exchange.yield())) {
            return "lost";
        }
        record_progress(work, sent + 1, "");
        const char* finish = i + 1 < range.last ? nullptr : range.cut ? "length" : "stop";
        if (!work.exchange.write(token_event(request, i, work.faults.wrong, finish))) {
            return "cancelled";
        }
    }
    return "done";
}

void run_stream(engine_work& work, const chat_request& request, const token_range& range,
                std::chrono::milliseconds token_time) {
    if (!work.exchange.begin_stream({200, {{"Content-Type", "text/event-stream"}}, {}})) {
        return record_progress(work, 0, "cancelled");
    }
    const auto outcome = stream_tokens(work, request, range, token_time);
    const int generated = range.last - range.first;
    if (outcome != "done") {
        return record_progress(work, work.state.counts.with([&](const engine_counts& counts) {
            return counts.executions[work.record].completion_tokens;
        }),
                               outcome);
    }
    record_progress(work, generated, outcome);
    free_slot(work);
    work.exchange.write(closing_events(request, generated)) && work.exchange.end_stream();
}

void run_chat(engine_work& work, const chat_request& request) {
    work.faults = take_faults(work.state, request.version, request.stream);
    record_start(work, request.version, "", prompt_tokens(request));
    const auto speed = speed_of(work.state);
    const auto first = first_token_time(work.state, request, speed.first_token) + speed.delay;
    const bool kept = work.state.jobs.work(*work.job, first, work.exchange.yield());
    if (kept) {
        crash_where_asked(work.state, work.exchange.request().body);
    }
    // A crash that this request caused loses its own work too.
    if (!kept || !work.state.jobs.work(*work.job, std::chrono::milliseconds(0), work.exchange.yield())) {
        return record_progress(work, 0, "lost");
    }
    if (work.faults.bad) {
        record_progress(work, 0, "done");
        return answer_work(work, json_reply(500, {{"error", "version " + request.version + " failed"}}));
    }
    const bool whole = !request.stream || work.faults.drop || work.faults.fail || work.faults.garbage;
    (whole ? run_whole : run_stream)(work, request, range_of(work.state, request), speed.token);
}

} // namespace

void serve_chat(engine& state, http_exchange& exchange) {
    const auto request = parse_chat(exchange.request().body);
    if (!request) {
        return refuse(state, exchange, 400, request.error());
    }
    const bool loaded = state.placement.with([&](const engine_placement& placement) {
        return std::count(placement.versions.begin(), placement.versions.end(), request->version) > 0;
    });
    if (!loaded) {
        return refuse(state, exchange, 404, "version " + request->version + " is not loaded");
    }
    run_in_batch(state, exchange, request->priority, request->alone,
                 [&](engine_work& work) { run_chat(work, *request); });
}

} // namespace figspoke::standins
