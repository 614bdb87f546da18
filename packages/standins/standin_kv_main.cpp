#include "standins/flags.h"
#include "standins/kv_service.h"

int main(int argc, char** argv) {
    const auto options = figspoke::standins::parse_flags(argc, argv);
    return figspoke::standins::run_standin(options, figspoke::standins::make_kv_service());
}
