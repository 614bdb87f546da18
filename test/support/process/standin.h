#pragma once

#include <string>
#include <vector>

#include "support/process/process.h"

namespace figspoke::test {

/// One stand-in (`kv`, `upstream` or `platform`) with a directory of its own.
struct running_standin {
    explicit running_standin(const std::string& role, std::vector<std::string> flags = {});

    temporary_directory directory;
    child_process process;
    std::string address;
};

} // namespace figspoke::test
