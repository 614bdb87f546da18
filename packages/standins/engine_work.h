#pragma once

#include <string>

#include "standins/engine.h"

namespace figspoke::standins {

/// The faults that apply to one piece of work. They are taken from the control when the work starts.
struct work_faults {
    bool drop = false;
    bool fail = false;
    bool garbage = false;
    bool bad = false;
    bool wrong = false;
    /// -1 means that the stream is not cut.
    int cut_after = -1;
};

/// One request from its admission to its end.
struct engine_work {
    engine& state;
    adapters::http_exchange& exchange;
    batch_job_ptr job;
    work_faults faults;
    /// Index in the list of executions.
    std::size_t record = 0;
};

/// Queues a request and runs it once it has a slot, or refuses it.
void run_in_batch(engine& state, adapters::http_exchange& exchange, int priority, bool alone,
                  const std::function<void(engine_work&)>& run);

/// Takes the faults that apply to a piece of work.
work_faults take_faults(engine& state, const std::string& version, bool stream);

/// Records the start of the work.
void record_start(engine_work& work, const std::string& version, const std::string& service,
                  int prompt_tokens);

/// Records the tokens that were generated, and the outcome where it is not empty.
void record_progress(engine_work& work, int tokens, const std::string& outcome);

/// Frees the slot of work whose last bytes are about to be sent, so that the caller's next request finds it.
void free_slot(engine_work& work);

/// Sends the answer to finished work, as its faults say.
void answer_work(engine_work& work, const adapters::http_reply& reply);

/// Refuses a request before any work was done.
void refuse(engine& state, adapters::http_exchange& exchange, int status, const std::string& reason);

} // namespace figspoke::standins
