#include "standins/engine_role.h"

namespace figspoke::standins {
namespace {

using adapters::http_exchange;
using nlohmann::json;

constexpr std::chrono::milliseconds shutdown_grace{5000};

std::uint64_t after_of(const adapters::http_request& request) {
    const auto found = request.query.find("after");
    return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

void serve(engine& state, http_exchange& exchange) {
    const auto& request = exchange.request();
    if (request.path == "/v1/chat/completions") {
        serve_chat(state, exchange);
    } else if (request.path.rfind("/services/", 0) == 0) {
        serve_plain_service(state, exchange);
    } else if (request.path == "/load") {
        send_answer(state.control, exchange, report_load(state), false);
    } else if (request.path == "/events") {
        send_answer(state.control, exchange, report_events(state, after_of(request)), false);
    } else if (request.path == "/placement" && request.method == "PUT") {
        const auto reply = place(state, request.body);
        send_answer(state.control, exchange, reply, reply.status == 200);
    } else {
        send_answer(state.control, exchange, refusal(404, "path"), false);
    }
}

std::optional<std::string> apply(engine& state, const json& patch) {
    auto problem = state.control.with([&](engine_control& fields) { return apply_patch(fields, patch); });
    const auto limits = state.control.with([](const engine_control& fields) {
        return batch_limits{fields.slots, fields.queue_limit};
    });
    state.jobs.set_limits(limits);
    return problem;
}

json read_control(engine& state) {
    json fields = state.control.copy();
    const auto placement = state.placement.copy();
    fields["placement"] = {
        {"fencing", placement.fencing}, {"versions", placement.versions}, {"role", placement.role}};
    return fields;
}

} // namespace

standin_role make_engine(const engine_options& options) {
    const auto state = std::make_shared<engine>(options);
    standin_role role;
    role.serve = [state](http_exchange& exchange) { serve(*state, exchange); };
    role.read_control = [state] { return read_control(*state); };
    role.apply_control = [state](const json& patch) { return apply(*state, patch); };
    role.counts = [state] {
        return state->counts.with([](const engine_counts& counts) { return json(counts); });
    };
    role.is_down = [state] {
        return state->control.with([](const engine_control& fields) { return fields.down; });
    };
    role.on_stop = [state] {
        state->placement.with([](engine_placement& placement) { placement.stopping = true; });
    };
    role.stop_grace = shutdown_grace;
    return role;
}

} // namespace figspoke::standins
