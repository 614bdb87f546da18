#include "core/hash.h"
#include "standins/engine_work.h"

namespace figspoke::standins {
namespace {

using nlohmann::json;

void run_service(engine_work& work, const std::string& service) {
    auto& state = work.state;
    const auto& request = work.exchange.request();
    work.faults = take_faults(state, "", false);
    record_start(work, "", service, 0);
    const auto time = state.control.with([](const engine_control& fields) {
        return std::chrono::milliseconds(fields.first_token_ms + fields.delay_ms);
    });
    const bool kept = state.jobs.work(*work.job, time, work.exchange.yield());
    if (kept) {
        crash_where_asked(state, request.body);
    }
    if (!kept || !state.jobs.work(*work.job, std::chrono::milliseconds(0), work.exchange.yield())) {
        return record_progress(work, 0, "lost");
    }
    record_progress(work, 0, "done");
    answer_work(work,
                json_reply(200, {{"service", service},
                                 {"request_id", adapters::header_or_empty(request.headers, "x-request-id")},
                                 {"body_sha256", core::sha256_hex(request.body)},
                                 {"execution", state.start.name + "-" + std::to_string(work.record)}}));
}

} // namespace

void serve_plain_service(engine& state, adapters::http_exchange& exchange) {
    const auto service = exchange.request().path.substr(std::string("/services/").size());
    run_in_batch(state, exchange, 1, false, [&](engine_work& work) { run_service(work, service); });
}

} // namespace figspoke::standins
