#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "standins/batch.h"
#include "standins/control.h"
#include "standins/engine_answer.h"
#include "standins/prefix_cache.h"

namespace figspoke::standins {

/// Start values of an engine.
struct engine_options {
    std::string name = "engine";
    std::vector<std::string> versions;
    int slots = 8;
    int queue_limit = 64;
    int first_token_ms = 20;
    int token_ms = 2;
    int load_lag_ms = 100;
    bool check_fencing = true;
    int cache_tokens = 65536;
    answer_length length;
};

/// The control fields of the engine and plain service.
struct engine_control {
    int delay_ms = 0;
    bool down = false;
    int drop_replies = 0;
    int fail_first = 0;
    std::string crash_on;
    std::string crash_reset;
    std::string bad_version;
    std::string bad_mode = "error";
    int garbage = 0;
    /// -1 means that no stream is cut.
    int cut_after_tokens = -1;
    int first_token_ms = 20;
    int token_ms = 2;
    int slots = 8;
    int queue_limit = 64;
    int load_lag_ms = 100;
    int event_gap = 0;
    bool check_fencing = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_control, delay_ms, down, drop_replies, fail_first, crash_on,
                                   crash_reset, bad_version, bad_mode, garbage, cut_after_tokens,
                                   first_token_ms, token_ms, slots, queue_limit, load_lag_ms, event_gap,
                                   check_fencing)

/// One piece of work, recorded when it starts.
struct execution_record {
    std::string request_id;
    std::string key;
    std::string version;
    std::string service;
    int prompt_tokens = 0;
    int completion_tokens = 0;
    std::string body_sha256;
    /// `running`, `done`, `cancelled` or `lost`.
    std::string outcome = "running";
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(execution_record, request_id, key, version, service, prompt_tokens,
                                   completion_tokens, body_sha256, outcome)

/// What the engine has served.
struct engine_counts {
    std::vector<execution_record> executions;
    std::uint64_t refused = 0;
    /// Tokens of all prompts, and those of them that were found in the prefix cache.
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_prompt_tokens = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(engine_counts, executions, refused, prompt_tokens, cached_prompt_tokens)

/// What the last placement command asked for.
struct engine_placement {
    std::int64_t fencing = 0;
    std::vector<std::string> versions;
    std::string role = "mixed";
    bool stopping = false;
};

/// A load report and when it was true.
struct load_sample {
    core::steady_time at{};
    batch_size size;
    std::size_t cached_tokens = 0;
};

/// The state of one engine. No two of its locks are held at once.
struct engine {
    explicit engine(const engine_options& options);

    engine_options start;
    guarded<engine_control> control;
    guarded<engine_counts> counts;
    guarded<engine_placement> placement;
    guarded<prefix_cache> cache;
    guarded<std::deque<load_sample>> loads;
    batch jobs;
};

/// Notes the present load for later reports.
void sample_load(engine& state);

/// Ends the process with exit code 42 or loses all work where the control asks for it at this body.
void crash_where_asked(engine& state, const std::string& body);

/// Serves `POST /v1/chat/completions`.
void serve_chat(engine& state, adapters::http_exchange& exchange);

/// Serves `POST /services/<name>`.
void serve_plain_service(engine& state, adapters::http_exchange& exchange);

/// Returns the answer to `GET /load`.
adapters::http_reply report_load(engine& state);

/// Returns the answer to `GET /events`.
adapters::http_reply report_events(engine& state, std::uint64_t after);

/// Returns the answer to `PUT /placement`.
adapters::http_reply place(engine& state, const std::string& body);

} // namespace figspoke::standins
