#include "standins/engine_work.h"

#include "core/hash.h"

namespace figspoke::standins {
namespace {

using adapters::http_exchange;

// Leaves the batch on every path.
class batch_place {
  public:
    batch_place(engine& state, batch_job_ptr job) : state_(state), job_(std::move(job)) {
        sample_load(state_);
    }
    ~batch_place() {
        state_.jobs.leave(job_);
        sample_load(state_);
    }
    batch_place(const batch_place&) = delete;
    batch_place& operator=(const batch_place&) = delete;

  private:
    engine& state_;
    batch_job_ptr job_;
};

} // namespace

void refuse(engine& state, http_exchange& exchange, int status, const std::string& reason) {
    state.counts.with([](engine_counts& counts) { ++counts.refused; });
    send_answer(state.control, exchange, refusal(status, reason), false);
}

void run_in_batch(engine& state, http_exchange& exchange, int priority, bool alone,
                  const std::function<void(engine_work&)>& run) {
    if (state.placement.with([](const engine_placement& placement) { return placement.stopping; })) {
        return refuse(state, exchange, 503, "shutting down");
    }
    auto job = state.jobs.enter(priority, alone, exchange.yield());
    if (!job) {
        return refuse(state, exchange, 429, "queue full");
    }
    const batch_place place(state, job);
    if (!state.jobs.wait_for_start(*job, exchange.yield())) {
        return;
    }
    sample_load(state);
    engine_work work{state, exchange, job, {}, 0};
    run(work);
}

work_faults take_faults(engine& state, const std::string& version, bool stream) {
    return state.control.with([&](engine_control& fields) {
        work_faults faults;
        faults.drop = take_one(fields.drop_replies);
        faults.fail = !faults.drop && take_one(fields.fail_first);
        faults.garbage = !faults.drop && !faults.fail && take_one(fields.garbage);
        const bool bad = !version.empty() && fields.bad_version == version;
        faults.bad = bad && fields.bad_mode != "quality";
        faults.wrong = bad && fields.bad_mode == "quality";
        if (stream && fields.cut_after_tokens >= 0) {
            faults.cut_after = std::exchange(fields.cut_after_tokens, -1);
        }
        return faults;
    });
}

void record_start(engine_work& work, const std::string& version, const std::string& service,
                  int prompt_tokens) {
    const auto& request = work.exchange.request();
    execution_record record;
    record.request_id = adapters::header_or_empty(request.headers, "x-request-id");
    record.key = adapters::header_or_empty(request.headers, "idempotency-key");
    record.version = version;
    record.service = service;
    record.prompt_tokens = prompt_tokens;
    record.body_sha256 = core::sha256_hex(request.body);
    work.record = work.state.counts.with([&](engine_counts& counts) {
        counts.executions.push_back(std::move(record));
        return counts.executions.size() - 1;
    });
}

void record_progress(engine_work& work, int tokens, const std::string& outcome) {
    work.state.counts.with([&](engine_counts& counts) {
        auto& record = counts.executions[work.record];
        record.completion_tokens = tokens;
        if (!outcome.empty()) {
            record.outcome = outcome;
        }
    });
}

void free_slot(engine_work& work) {
    work.state.jobs.leave(work.job);
    sample_load(work.state);
}

void answer_work(engine_work& work, const adapters::http_reply& reply) {
    free_slot(work);
    const bool down = work.state.control.with([](const engine_control& fields) { return fields.down; });
    if (work.faults.drop || down) {
        return;
    }
    if (work.faults.garbage) {
        // A piece without a head before it is a chunk's raw bytes, which no client can read as an answer.
        work.exchange.write("\x01\x02 this is not HTTP \x03\x04");
        return;
    }
    if (work.faults.fail) {
        work.exchange.send(json_reply(500, {{"error", "failed after the work was done"}}));
        return;
    }
    work.exchange.send(reply);
}

} // namespace figspoke::standins
