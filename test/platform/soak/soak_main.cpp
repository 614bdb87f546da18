#include <csignal>
#include <iostream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "platform/soak/soak_run.h"

DEFINE_uint32(seed, 1, "seed of the first run");
DEFINE_uint32(seeds, 1, "number of runs, with consecutive seeds");
DEFINE_int32(seconds, 20, "time in which faults are injected, in seconds");
DEFINE_int32(gap_ms, 700, "mean time between two series of faults, in milliseconds");
DEFINE_uint32(nodes, 4, "number of router processes");
DEFINE_uint32(engines, 3, "number of engines of each of the two services");
DEFINE_uint32(callers, 24, "number of callers");
DEFINE_bool(planned, false, "only planned work: stops, reloads, draining engines and changed keys");
DEFINE_bool(
    returns, false,
    "also returns of the store from older copies, and nodes that it turns away; the bound on withdrawn "
    "keys is 5 s then");

namespace {

using namespace figspoke;

// Prints a line for each run: the seed, the broken promises, and how requests ended.
bool run_seed(unsigned seed) {
    soak::soak_settings settings;
    settings.plan.seed = seed;
    settings.plan.length = core::seconds(FLAGS_seconds);
    settings.plan.gap = core::milliseconds(FLAGS_gap_ms);
    settings.plan.planned_only = FLAGS_planned;
    settings.plan.returns = FLAGS_returns;
    settings.nodes = FLAGS_nodes;
    settings.engines = FLAGS_engines;
    settings.callers = FLAGS_callers;
    const auto report = soak::run_soak(settings);
    nlohmann::json line = {{"seed", seed},
                           {"broken", report.broken},
                           {"outcomes", report.outcomes},
                           {"faults", report.faults},
                           {"longest_delay_ms", report.longest_delay.count()}};
    if (!report.kept_output.empty()) {
        line["output"] = report.kept_output;
    }
    std::cout << line.dump() << std::endl;
    return report.broken.empty();
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("runs router processes under random faults and checks what they promise");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    bool kept = true;
    for (unsigned i = 0; i < FLAGS_seeds; ++i) {
        kept = run_seed(FLAGS_seed + i) && kept;
    }
    return kept ? 0 : 1;
}
