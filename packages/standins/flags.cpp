#include "standins/flags.h"

#include <sstream>

#include <gflags/gflags.h>

DEFINE_int32(port, 0, "port to listen on; 0 picks one");
DEFINE_string(port_file, "", "file that receives the port");
DEFINE_int32(threads, 2, "threads that serve requests");

namespace figspoke::standins {

listen_options parse_flags(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return {FLAGS_port, FLAGS_port_file, FLAGS_threads};
}

std::vector<std::string> split_flag(const std::string& text) {
    std::vector<std::string> items;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        if (!item.empty()) {
            items.push_back(item);
        }
    }
    return items;
}

} // namespace figspoke::standins
