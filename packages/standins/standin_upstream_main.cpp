#include <gflags/gflags.h>

#include "standins/engine_role.h"
#include "standins/flags.h"

DEFINE_string(name, "engine", "name of the engine or service");
DEFINE_string(versions, "", "loaded versions, model@version, separated by commas");
DEFINE_int32(slots, 8, "requests that run at once");
DEFINE_int32(queue_limit, 64, "requests that wait at once");
DEFINE_int32(first_token_ms, 20, "time to the first token, and the time of a plain service");
DEFINE_int32(token_ms, 2, "time between two tokens");
DEFINE_int32(load_lag_ms, 100, "lag of load reports and cache events");
DEFINE_bool(check_fencing, true, "refuse an old fencing number");
DEFINE_int32(cache_tokens, 65536, "capacity of the prefix cache in tokens");
DEFINE_int32(answer_tokens_min, 16, "shortest answer in tokens");
DEFINE_int32(answer_tokens_max, 64, "longest answer in tokens");

int main(int argc, char** argv) {
    namespace standins = figspoke::standins;
    const auto listen = standins::parse_flags(argc, argv);
    standins::engine_options options;
    options.name = FLAGS_name;
    options.versions = standins::split_flag(FLAGS_versions);
    options.slots = FLAGS_slots;
    options.queue_limit = FLAGS_queue_limit;
    options.first_token_ms = FLAGS_first_token_ms;
    options.token_ms = FLAGS_token_ms;
    options.load_lag_ms = FLAGS_load_lag_ms;
    options.check_fencing = FLAGS_check_fencing;
    options.cache_tokens = FLAGS_cache_tokens;
    options.length = {FLAGS_answer_tokens_min, FLAGS_answer_tokens_max};
    return standins::run_standin(listen, standins::make_engine(options));
}
