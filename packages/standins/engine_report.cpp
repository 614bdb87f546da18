#include "standins/engine.h"

namespace figspoke::standins {
namespace {

using nlohmann::json;

constexpr std::size_t max_reported_events = 1000;

load_sample lagged_sample(engine& state, std::chrono::milliseconds lag) {
    const auto visible = std::chrono::steady_clock::now() - lag;
    return state.loads.with([&](const std::deque<load_sample>& samples) {
        load_sample latest;
        for (const auto& sample : samples) {
            if (sample.at <= visible) {
                latest = sample;
            }
        }
        return latest;
    });
}

json render(const cache_event& event) {
    return {{"seq", event.seq},
            {"type", event.cached ? "cached" : "evicted"},
            {"version", event.version},
            {"prefix", event.prefix}};
}

std::vector<std::string> versions_of(const json& command) {
    return command.at("versions").get<std::vector<std::string>>();
}

adapters::http_reply apply_placement(engine& state, const json& command, bool check_fencing) {
    const auto fencing = command.at("fencing").get<std::int64_t>();
    const auto versions = versions_of(command);
    const auto role = command.value("role", "mixed");
    return state.placement.with([&](engine_placement& placement) {
        if (check_fencing && fencing < placement.fencing) {
            return json_reply(412, {{"fencing", placement.fencing}});
        }
        placement.fencing = fencing;
        placement.versions = versions;
        placement.role = role;
        return json_reply(200, {{"fencing", fencing}});
    });
}

} // namespace

adapters::http_reply report_load(engine& state) {
    const auto [lag, slots] = state.control.with([](const engine_control& fields) {
        return std::pair{fields.load_lag_ms, fields.slots};
    });
    const auto sample = lagged_sample(state, std::chrono::milliseconds(lag));
    const auto versions =
        state.placement.with([](const engine_placement& placement) { return placement.versions; });
    return json_reply(200, {{"running", sample.size.running},
                            {"waiting", sample.size.waiting},
                            {"slots", slots},
                            {"versions", versions},
                            {"cached_tokens", sample.cached_tokens},
                            {"age_ms", lag}});
}

adapters::http_reply report_events(engine& state, std::uint64_t after) {
    const auto [lag, gap] = state.control.with([](const engine_control& fields) {
        return std::pair{fields.load_lag_ms, static_cast<std::uint64_t>(std::max(0, fields.event_gap))};
    });
    const auto visible = std::chrono::steady_clock::now() - std::chrono::milliseconds(lag);
    json events = json::array();
    std::uint64_t next = after;
    state.cache.with([&, gap_size = gap](const prefix_cache& cache) {
        for (const auto& event : cache.events) {
            if (event.at > visible || events.size() >= max_reported_events) {
                break;
            }
            if (event.seq <= after) {
                continue;
            }
            next = event.seq;
            if (gap_size == 0 || event.seq % gap_size != 0) {
                events.push_back(render(event));
            }
        }
    });
    return json_reply(200, {{"next", next}, {"events", events}});
}

adapters::http_reply place(engine& state, const std::string& body) {
    const json command = json::parse(body, nullptr, false);
    const bool check = state.control.with([](const engine_control& fields) { return fields.check_fencing; });
    try {
        return apply_placement(state, command, check);
    } catch (const json::exception& failure) {
        return json_reply(400, {{"error", std::string("placement command is malformed: ") + failure.what()}});
    }
}

} // namespace figspoke::standins
