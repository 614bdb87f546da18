#include <doctest/doctest.h>

#include "support/process/requests.h"

using namespace figspoke::test;
using nlohmann::json;

namespace {

constexpr int engine_count = 4;

fleet_spec crash_fleet(int nodes) {
    fleet_spec spec;
    spec.nodes = nodes;
    for (int i = 0; i < engine_count; ++i) {
        spec.upstreams.push_back({"engine-" + std::to_string(i), {"small@1"}, {}, {}});
    }
    return spec;
}

// Lets every upstream lose all its work when it runs a request with this text.
void arm(fleet& nodes) {
    for (int i = 0; i < engine_count; ++i) {
        set_control(nodes.upstream("engine-" + std::to_string(i)), {{"crash_reset", "poison"}});
    }
}

// Each run of the poisoned request crashes its upstream.
std::size_t crashes(fleet& nodes, const std::string& request_prompt) {
    std::size_t count = 0;
    const auto executions = nodes.executions();
    for (const auto& execution : executions) {
        count += execution.at("outcome") == "lost" && execution.at("prompt_tokens") == request_prompt.size() ? 1 : 0;
    }
    return count;
}

} // namespace
