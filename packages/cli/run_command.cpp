#include "cli/run_command.h"

#include <map>

#include "cli/drain.h"
#include "cli/finish_edit.h"
#include "cli/status.h"
#include "cli/table_diff.h"
#include "cli/table_export.h"
#include "cli/table_get.h"
#include "cli/table_import.h"
#include "cli/table_log.h"
#include "cli/table_rm.h"
#include "cli/table_set.h"

namespace figspoke::cli {
namespace {

using command = outcome (*)(const options&, const words&);

struct table_command {
    command run;
    bool is_edit;
};

const std::map<std::string, table_command>& table_commands() {
    static const std::map<std::string, table_command> commands = {
        {"get", {table_get, false}},       {"set", {table_set, true}},    {"rm", {table_rm, true}},
        {"import", {table_import, true}},  {"diff", {table_diff, false}}, {"log", {table_log, false}},
        {"export", {table_export, false}},
    };
    return commands;
}

outcome run_table(const options& flags, const words& given) {
    const std::string name = given.empty() ? "" : given[0];
    const auto found = table_commands().find(name);
    if (found == table_commands().end()) {
        return failed(exit_code::usage, "table command \"" + name +
                                            "\" does not exist; accepted are get, set, rm, import, export, "
                                            "diff and log");
    }
    if (flags.kv.empty()) {
        return failed(exit_code::usage, "--kv IP:port is missing: the address of the key-value service");
    }
    const std::string missing = found->second.is_edit && !flags.dry_run ? missing_edit_flag(flags) : "";
    return missing.empty() ? found->second.run(flags, words(given.begin() + 1, given.end()))
                           : failed(exit_code::usage, missing);
}

} // namespace

outcome run_command(const options& flags, const words& given) {
    static const std::map<std::string, command> commands = {
        {"table", run_table}, {"status", status}, {"drain", drain}};
    const std::string name = given.empty() ? "" : given[0];
    const auto found = commands.find(name);
    if (found == commands.end()) {
        return failed(exit_code::usage, "command \"" + name +
                                            "\" does not exist; accepted are table, status, drain and load; "
                                            "see figspoke --help");
    }
    return found->second(flags, words(given.begin() + 1, given.end()));
}

} // namespace figspoke::cli
