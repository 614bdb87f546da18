#include "support/process/standin.h"

namespace figspoke::test {
namespace {

std::vector<std::string> with_port_file(std::vector<std::string> flags, const std::string& path) {
    flags.push_back("--port_file=" + path);
    return flags;
}

} // namespace

running_standin::running_standin(const std::string& role, std::vector<std::string> flags)
    : process(program_path("standins/standin_" + role),
              with_port_file(std::move(flags), directory.path() + "/port"), directory.path(), role),
      address(wait_for_address(process, directory.path() + "/port")) {}

} // namespace figspoke::test
