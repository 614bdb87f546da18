#pragma once

#include <string>
#include <vector>

#include "standins/run.h"

namespace figspoke::standins {

/// Parses the command line, including the flags of the calling program, and returns where to listen.
listen_options parse_flags(int argc, char** argv);

/// Splits a comma-separated flag, without empty items.
std::vector<std::string> split_flag(const std::string& text);

} // namespace figspoke::standins
