#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "adapters/http_server.h"
#include "standins/guarded.h"

namespace figspoke::standins {

/// Sets the fields that the patch names. The error names a field that is unknown or has the wrong type.
template <class Control>
std::optional<std::string> apply_patch(Control& control, const nlohmann::json& patch) {
    nlohmann::json fields = control;
    for (const auto& [name, value] : patch.items()) {
        if (!fields.contains(name)) {
            return "control field \"" + name + "\" does not exist";
        }
        fields[name] = value;
    }
    try {
        control = fields.get<Control>();
    } catch (const nlohmann::json::exception& failure) {
        return std::string("control field has the wrong type: ") + failure.what();
    }
    return std::nullopt;
}

/// Returns a JSON answer.
inline adapters::http_reply json_reply(int status, const nlohmann::json& body) {
    return {status, {{"Content-Type", "application/json"}}, body.dump()};
}

/// Returns the answer to a request that was refused before any work was done.
inline adapters::http_reply refusal(int status, const std::string& reason) {
    auto reply = json_reply(status, {{"error", reason}});
    reply.headers["X-Not-Run"] = "true";
    return reply;
}

/// Takes one from a count of faults that are still to happen.
inline bool take_one(int& remaining) {
    if (remaining <= 0) {
        return false;
    }
    --remaining;
    return true;
}

/// Sends an answer as `delay_ms`, `down` and, where the request changed something, `drop_replies` say.
template <class Control>
void send_answer(guarded<Control>& control, adapters::http_exchange& exchange,
                 const adapters::http_reply& reply, bool changed) {
    const auto [delay, dropped] = control.with([changed](Control& fields) {
        return std::pair{std::chrono::milliseconds(fields.delay_ms),
                         changed && take_one(fields.drop_replies)};
    });
    adapters::sleep_for(delay, exchange.yield());
    const bool down = control.with([](const Control& fields) { return fields.down; });
    if (!down && !dropped) {
        exchange.send(reply);
    }
}

} // namespace figspoke::standins
