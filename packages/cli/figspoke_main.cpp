#include <exception>
#include <iostream>

#include <pwd.h>
#include <unistd.h>

#include <gflags/gflags.h>

#include "cli/help_text.h"
#include "cli/load.h"
#include "cli/run_command.h"

DEFINE_string(kv, "", "IP:port of the key-value service");
DEFINE_string(node, "", "IP:port of a node");
DEFINE_string(author, "", "who makes the change; empty for the login name");
DEFINE_int32(wait_ms, 10000, "longest wait for a change to take effect or a node to end, in milliseconds");
DEFINE_bool(json, false, "print one line of JSON");
DEFINE_bool(remove_missing, false, "import: remove the rows that the file lacks");
DEFINE_bool(dry_run, false, "import: show what would change and store nothing");
DEFINE_string(keys_file, "", "load: file with one API key a line");
DEFINE_double(rate, 50, "load: requests a second");
DEFINE_double(duration_s, 10, "load: length of the run in seconds");
DEFINE_uint64(seed, 1, "load: seed of the plan");
DEFINE_uint32(connections, 256, "load: most requests at a time");
DEFINE_int32(timeout_ms, 60000, "load: longest silence of an answer in milliseconds");
DEFINE_double(urgent, 0.2, "load: share of urgent requests");
DEFINE_double(batch, 0.3, "load: share of batch requests");
DEFINE_uint32(prompt_tokens, 200, "load: mean length of a prompt");
DEFINE_uint32(answer_tokens, 64, "load: mean length of an answer");
DEFINE_double(streams, 0.5, "load: share of chat requests that are streamed");
DEFINE_double(orders, 0, "load: share of orders");
DEFINE_string(order_service, "", "load: service that takes the orders");
DECLARE_bool(help);

namespace {

namespace cli = figspoke::cli;

std::string login_name() {
    const auto* entry = ::getpwuid(::getuid());
    return entry == nullptr ? "uid " + std::to_string(::getuid()) : entry->pw_name;
}

cli::options read_options() {
    cli::options flags;
    flags.kv = FLAGS_kv;
    flags.node = FLAGS_node;
    flags.author = FLAGS_author.empty() ? login_name() : FLAGS_author;
    flags.wait = std::chrono::milliseconds(FLAGS_wait_ms);
    flags.remove_missing = FLAGS_remove_missing;
    flags.dry_run = FLAGS_dry_run;
    return flags;
}

cli::load_options read_load_options() {
    cli::load_options load;
    load.node = FLAGS_node;
    load.rate = FLAGS_rate;
    load.duration = std::chrono::milliseconds(static_cast<std::int64_t>(FLAGS_duration_s * 1000));
    load.seed = FLAGS_seed;
    load.connections = FLAGS_connections;
    load.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
    load.urgent = FLAGS_urgent;
    load.batch = FLAGS_batch;
    load.prompt_tokens = FLAGS_prompt_tokens;
    load.answer_tokens = FLAGS_answer_tokens;
    load.streams = FLAGS_streams;
    load.orders = FLAGS_orders;
    load.order_service = FLAGS_order_service;
    return load;
}

cli::outcome load(const cli::words& given) {
    if (given.size() > 1) {
        return cli::failed(cli::exit_code::usage, "\"" + given[1] + "\" is one word too many for load");
    }
    if (FLAGS_node.empty() || FLAGS_keys_file.empty()) {
        return cli::failed(cli::exit_code::usage, "load needs --node IP:port and --keys_file FILE");
    }
    auto keys = cli::read_keys(FLAGS_keys_file);
    if (!keys) {
        return cli::failed(keys.error());
    }
    auto options = read_load_options();
    options.keys = std::move(*keys);
    return cli::run_load(options);
}

cli::outcome run_guarded(const cli::words& given) {
    try {
        if (given.front() == "load") {
            return load(given);
        }
        return cli::run_command(read_options(), given);
    } catch (const std::exception& failure) {
        return cli::failed(cli::exit_code::refused, failure.what());
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help || argc < 2) {
        std::cout << cli::help_text();
        return static_cast<int>(FLAGS_help ? cli::exit_code::done : cli::exit_code::usage);
    }
    gflags::HandleCommandLineHelpFlags();
    const auto told = run_guarded(cli::words(argv + 1, argv + argc));
    const bool is_failure = told.data.contains("error") && told.code != cli::exit_code::pending;
    auto& stream = is_failure && !FLAGS_json ? std::cerr : std::cout;
    stream << (is_failure && !FLAGS_json ? "figspoke: " : "") << cli::render_outcome(told, FLAGS_json);
    return static_cast<int>(told.code);
}
