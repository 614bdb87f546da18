#include <exception>
#include <iostream>

#include <pwd.h>
#include <unistd.h>

#include <gflags/gflags.h>

#include "cli/help_text.h"
#include "cli/run_command.h"

DEFINE_string(kv, "", "IP:port of the key-value service");
DEFINE_string(node, "", "IP:port of a node");
DEFINE_string(author, "", "who makes the change; empty for the login name");
DEFINE_int32(wait_ms, 10000, "longest wait for a change to take effect or a node to end, in milliseconds");
DEFINE_bool(json, false, "print one line of JSON");
DEFINE_bool(remove_missing, false, "import: remove the rows that the file lacks");
DEFINE_bool(dry_run, false, "import: show what would change and store nothing");
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

cli::outcome run_guarded(const cli::words& given) {
    try {
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
