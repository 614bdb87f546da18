#include "cli/drain.h"

#include <chrono>
#include <thread>

#include "cli/node_call.h"

namespace figspoke::cli {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds poll_period{100};

// Polls until the node no longer answers, and keeps its last status: a node that has just started gets to
// know its peers only then. Returns whether it has ended.
bool await_end(const options& flags, clock::time_point limit, nlohmann::json& last) {
    while (true) {
        auto answer = get_json(flags.node, "/admin/status");
        if (answer) {
            last = std::move(*answer);
        } else if (answer.error().kind == core::error_kind::store_unavailable) {
            return true;
        }
        if (clock::now() >= limit) {
            return false;
        }
        std::this_thread::sleep_for(poll_period);
    }
}

// The state in which the node's peers saw it last; empty where none of them answers or knows it.
std::string state_at_peers(const nlohmann::json& last) {
    for (const auto& peer : last.value("members", nlohmann::json::array())) {
        if (peer["id"] == last["id"]) {
            continue;
        }
        const auto answer = get_json(peer["address"].get<std::string>(), "/admin/status");
        for (const auto& member :
             answer ? answer->value("members", nlohmann::json::array()) : nlohmann::json::array()) {
            if (member["id"] == last["id"]) {
                return member["state"].get<std::string>();
            }
        }
    }
    return "";
}

// A node that stops gracefully tells its peers that it has left; one that was killed can't.
outcome describe_end(const std::string& node, const nlohmann::json& last, std::chrono::milliseconds elapsed) {
    const auto state = state_at_peers(last);
    const std::string after = " after " + std::to_string(elapsed.count()) + " ms";
    if (!state.empty() && state != "left") {
        return failed(exit_code::refused, "node " + node + " stopped answering" + after +
                                              " and did not tell its peers that its work was finished: it "
                                              "was killed or can't be reached");
    }
    return {exit_code::done,
            "node " + node + " has finished its work and ended" + after +
                (state.empty() ? "; no other node could be asked\n" : "\n"),
            {{"ended", true}, {"elapsed_ms", elapsed.count()}, {"confirmed_by_peers", !state.empty()}}};
}

outcome describe_running(const std::string& node, const nlohmann::json& last,
                         std::chrono::milliseconds elapsed) {
    const auto admission = last.value("admission", nlohmann::json::object());
    return {exit_code::pending,
            "node " + node + " is draining and ends when its work is finished; after " +
                std::to_string(elapsed.count()) + " ms it still runs " +
                std::to_string(admission.value("running", 0)) + " requests\n",
            {{"ended", false}, {"elapsed_ms", elapsed.count()}, {"status", last}}};
}

} // namespace

outcome drain(const options& flags, const words& given) {
    if (!given.empty()) {
        return failed(exit_code::usage, "\"" + given[0] + "\" is one word too many for drain");
    }
    if (flags.node.empty()) {
        return failed(exit_code::usage, "--node IP:port is missing: the node to stop");
    }
    auto last = get_json(flags.node, "/admin/status");
    if (!last) {
        return failed(last.error());
    }
    const auto start = clock::now();
    if (const auto begun = get_json(flags.node, "/admin/drain", "POST"); !begun) {
        return failed(begun.error());
    }
    const bool ended = await_end(flags, start + flags.wait, *last);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start);
    return ended ? describe_end(flags.node, *last, elapsed) : describe_running(flags.node, *last, elapsed);
}

} // namespace figspoke::cli
