#include <exception>
#include <iostream>

#include <gflags/gflags.h>

#include "core/settings.h"
#include "node/node.h"

DEFINE_string(settings, "", "TOML file with the node's settings");
DEFINE_bool(check, false, "check the settings file and exit");

namespace {

constexpr int usage_error = 2;

int run(const figspoke::core::settings& settings) {
    try {
        return figspoke::node::run_node(settings);
    } catch (const std::exception& failure) {
        std::cerr << "figspoked: " << failure.what() << "\n";
        return 1;
    }
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("router node of figspoke\n\n"
                            "  figspoked --settings FILE          run a node\n"
                            "  figspoked --settings FILE --check  check the settings and exit");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_settings.empty()) {
        std::cerr << "figspoked: --settings FILE is missing; see figspoked --help\n";
        return usage_error;
    }
    const auto settings = figspoke::core::load_settings(FLAGS_settings);
    if (!settings) {
        std::cerr << "figspoked: " << settings.error().message << "\n";
        return usage_error;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": settings are valid\n";
        return 0;
    }
    return run(*settings);
}
