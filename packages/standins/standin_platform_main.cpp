#include <gflags/gflags.h>

#include "standins/flags.h"
#include "standins/platform_service.h"

DEFINE_uint64(seed, 1, "seed of ratings and of their sample");
DEFINE_int32(load_duration_ms, 200, "time that loading a version takes");
DEFINE_int32(loads_per_minute, 60, "rate of the weight store");

int main(int argc, char** argv) {
    namespace standins = figspoke::standins;
    const auto listen = standins::parse_flags(argc, argv);
    return standins::run_standin(
        listen, standins::make_platform({FLAGS_seed, FLAGS_load_duration_ms, FLAGS_loads_per_minute}));
}
