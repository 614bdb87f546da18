#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/time.h"

namespace figspoke::state {

struct answer_limits {
    std::chrono::milliseconds keep{std::chrono::seconds{60}};
    /// Bytes of finished answers.
    std::size_t max_bytes = std::size_t{64} * 1024 * 1024;
};

/// An answer in flight, or finished where `bytes` is set.
struct cached_answer {
    std::string body_sha256;
    std::string request_id;
    /// The whole answer with status line and headers.
    std::shared_ptr<const std::string> bytes;
    core::steady_time finished_at;
};

/// Answers in flight and recently finished, by `idempotency_id`.
struct answer_cache {
    answer_limits limits;
    std::map<std::string, cached_answer> answers;
    /// The ids of finished answers, oldest first.
    std::deque<std::string> finished;
    std::size_t bytes = 0;
};

enum class answer_state {
    /// The id was not known; the caller runs the request and must end it with `finish_answer` or
    /// `abandon_answer`.
    begun,
    in_flight,
    finished,
    /// The id belongs to a request with another body.
    key_reused,
};

struct answer_lookup {
    answer_state state = answer_state::begun;
    /// The request that runs or ran.
    std::string request_id;
    /// The answer where it is finished.
    std::shared_ptr<const std::string> bytes;
};

/// Looks an answer up, and registers the request as in flight where there is none.
answer_lookup begin_answer(answer_cache& cache, const std::string& id, const std::string& body_sha256,
                           const std::string& request_id, core::steady_time now);

/// Stores the answer of a request in flight. The oldest finished answers make room; an answer that is larger
/// than the whole limit is not kept.
void finish_answer(answer_cache& cache, const std::string& id, std::string bytes, core::steady_time now);

/// Removes a request in flight that has no answer, so that a repeat runs again.
void abandon_answer(answer_cache& cache, const std::string& id);

/// Removes finished answers that are too old.
void expire_answers(answer_cache& cache, core::steady_time now);

} // namespace figspoke::state
