#include "standins/platform_service.h"

#include <memory>

#include "standins/control.h"
#include "standins/platform_state.h"

namespace figspoke::standins {
namespace {

using adapters::http_exchange;
using adapters::http_reply;
using adapters::http_request;
using nlohmann::json;

constexpr std::size_t max_ratings = 100000;
constexpr std::size_t max_reported_ratings = 1000;

struct platform_control {
    int delay_ms = 0;
    bool down = false;
    int drop_replies = 0;
    std::vector<vm_entry> vms;
    int vm_lag_ms = 0;
    double loads_per_minute = 60;
    std::map<std::string, double> pass_rate;
    int rating_lag_ms = 0;
    double rating_sample = 1;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_control, delay_ms, down, drop_replies, vms, vm_lag_ms,
                                   loads_per_minute, pass_rate, rating_lag_ms, rating_sample)

struct weight_load {
    std::string version;
    std::string upstream;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(weight_load, version, upstream)

struct platform_counts {
    std::uint64_t vm_reads = 0;
    std::vector<weight_load> loads;
    std::uint64_t loads_refused = 0;
    std::uint64_t answers_received = 0;
    std::uint64_t ratings_given = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(platform_counts, vm_reads, loads, loads_refused, answers_received,
                                   ratings_given)

struct platform_data {
    vm_history vms;
    weight_bucket bucket;
    std::deque<rating> ratings;
    std::uint64_t next_rating = 1;
    platform_counts counts;
};

struct platform {
    platform_options options;
    guarded<platform_control> control;
    guarded<platform_data> data;
};

core::steady_time now() {
    return std::chrono::steady_clock::now();
}

http_reply serve_vms(platform_data& data) {
    ++data.counts.vm_reads;
    return json_reply(200, {{"vms", visible_vms(data.vms, now())}});
}

http_reply serve_load(platform_data& data, const http_request& request, double loads_per_minute,
                      int duration_ms) {
    const std::string prefix = "/weights/";
    const auto end = request.path.rfind("/load");
    const auto wait = take_load(data.bucket, loads_per_minute, now());
    if (wait.count() > 0) {
        ++data.counts.loads_refused;
        auto reply = json_reply(429, {{"error", "load rate"}});
        reply.headers["Retry-After-Ms"] = std::to_string(wait.count());
        return reply;
    }
    const auto upstream = request.query.find("upstream");
    data.counts.loads.push_back({request.path.substr(prefix.size(), end - prefix.size()),
                                 upstream == request.query.end() ? "" : upstream->second});
    return json_reply(200, {{"duration_ms", duration_ms}});
}

http_reply receive_answer(platform_data& data, const std::string& body, const rating_rules& rules) {
    const json parsed = json::parse(body, nullptr, false);
    rating_request request;
    try {
        request = parsed.get<rating_request>();
    } catch (const json::exception& failure) {
        return json_reply(400, {{"error", failure.what()}});
    }
    ++data.counts.answers_received;
    if (auto rated = rate(rules, request)) {
        rated->seq = data.next_rating++;
        rated->visible_at = now() + rules.lag;
        data.ratings.push_back(std::move(*rated));
        if (data.ratings.size() > max_ratings) {
            data.ratings.pop_front();
        }
    }
    return json_reply(202, json::object());
}

json render(const rating& entry) {
    return {{"seq", entry.seq},
            {"request_id", entry.request_id},
            {"version", entry.version},
            {"task", entry.task},
            {"passed", entry.passed}};
}

// The list ends at the first rating that is not visible yet, so that `next` skips none.
http_reply report_ratings(platform_data& data, std::uint64_t after) {
    json ratings = json::array();
    std::uint64_t next = after;
    for (const auto& entry : data.ratings) {
        if (entry.visible_at > now() || ratings.size() >= max_reported_ratings) {
            break;
        }
        if (entry.seq > after) {
            next = entry.seq;
            ratings.push_back(render(entry));
        }
    }
    data.counts.ratings_given += ratings.size();
    return json_reply(200, {{"next", next}, {"ratings", ratings}});
}

std::uint64_t after_of(const http_request& request) {
    const auto found = request.query.find("after");
    return found == request.query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

http_reply serve_call(platform& state, const platform_control& control, const http_request& request) {
    const rating_rules rules{state.options.seed, control.pass_rate, control.rating_sample,
                             core::milliseconds(control.rating_lag_ms)};
    return state.data.with([&](platform_data& data) {
        if (request.path == "/vms") {
            return serve_vms(data);
        }
        if (request.path == "/ratings") {
            return request.method == "POST" ? receive_answer(data, request.body, rules)
                                            : report_ratings(data, after_of(request));
        }
        if (request.path.rfind("/weights/", 0) == 0 && request.method == "POST") {
            return serve_load(data, request, control.loads_per_minute, state.options.load_duration_ms);
        }
        return json_reply(404, {{"error", "path"}});
    });
}

void serve(platform& state, http_exchange& exchange) {
    const auto& request = exchange.request();
    const auto reply = serve_call(state, state.control.copy(), request);
    send_answer(state.control, exchange, reply,
                request.method == "POST" && (reply.status == 200 || reply.status == 202));
}

std::optional<std::string> apply(platform& state, const json& patch) {
    auto problem = state.control.with([&](platform_control& fields) { return apply_patch(fields, patch); });
    if (!problem && patch.contains("vms")) {
        const auto control = state.control.copy();
        state.data.with([&](platform_data& data) {
            set_vms(data.vms, control.vms, now() + core::milliseconds(control.vm_lag_ms));
        });
    }
    return problem;
}

} // namespace

standin_role make_platform(const platform_options& options) {
    const auto state = std::make_shared<platform>();
    state->options = options;
    state->control.with(
        [&](platform_control& fields) { fields.loads_per_minute = options.loads_per_minute; });
    standin_role role;
    role.serve = [state](http_exchange& exchange) { serve(*state, exchange); };
    role.read_control = [state] { return json(state->control.copy()); };
    role.apply_control = [state](const json& patch) { return apply(*state, patch); };
    role.counts = [state] {
        return state->data.with([](const platform_data& data) { return json(data.counts); });
    };
    role.is_down = [state] {
        return state->control.with([](const platform_control& fields) { return fields.down; });
    };
    return role;
}

} // namespace figspoke::standins
