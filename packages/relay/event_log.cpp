#include "relay/event_log.h"

#include <nlohmann/json.hpp>

#include "adapters/decision_log.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {

using nlohmann::json;

void event_log::request(const json& line) {
    const auto now = boot_now();
    if (now - window_start_ >= core::seconds(1)) {
        if (suppressed_ > 0) {
            write({{"event", "log_suppressed"}, {"lines", suppressed_}});
            suppressed_ = 0;
        }
        window_start_ = now;
        lines_in_window_ = 0;
    }
    if (++lines_in_window_ > max_request_lines_per_s) {
        ++suppressed_;
        return;
    }
    write(line);
}

void event_log::state(const std::string& event, json line) {
    line["event"] = event;
    write(line);
}

void event_log::write(const json& line) {
    adapters::log_decision(line.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace figspoke::relay
