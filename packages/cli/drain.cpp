#include "cli/drain.h"

#include <chrono>
#include <thread>

#include "cli/node_call.h"

namespace figspoke::cli {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_period{100};

// Polls until the node no longer answers; returns its last status, or null where it has ended.
nlohmann::json await_end(const options& flags, clock::time_point limit) {
    while (true) {
        auto answer = get_json(flags.node, "/admin/status");
        if (!answer && answer.error().kind == core::error_kind::store_unavailable) {
            return nullptr;
        }
        if (clock::now() >= limit) {
            return answer ? std::move(*answer) : nlohmann::json::object();
        }
        std::this_thread::sleep_for(poll_period);
    }
}

} // namespace

outcome drain(const options& flags, const words& given) {
    if (!given.empty()) {
        return failed(exit_code::usage, "\"" + given[0] + "\" is one word too many for drain");
    }
    if (flags.node.empty()) {
        return failed(exit_code::usage, "--node IP:port is missing: the node to stop");
    }
    const auto start = clock::now();
    const auto begun = get_json(flags.node, "/admin/drain", "POST");
    if (!begun) {
        return failed(begun.error());
    }
    const auto last = await_end(flags, start + flags.wait);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start).count();
    if (last.is_null()) {
        return {exit_code::done,
                "node " + flags.node + " has ended after " + std::to_string(elapsed) + " ms\n",
                {{"ended", true}, {"elapsed_ms", elapsed}}};
    }
    const auto admission = last.value("admission", nlohmann::json::object());
    return {exit_code::pending,
            "node " + flags.node + " is draining and ends when its work is finished; after " +
                std::to_string(elapsed) + " ms it still runs " +
                std::to_string(admission.value("running", 0)) + " requests\n",
            {{"ended", false}, {"elapsed_ms", elapsed}, {"status", last}}};
}

} // namespace figspoke::cli
