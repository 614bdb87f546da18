#include "cli/load.h"

#include <cerrno>
#include <cstring>
#include <fstream>

#include <boost/asio/io_context.hpp>

#include "adapters/await.h"
#include "cli/load_request.h"
#include "core/hash.h"

namespace figspoke::cli {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

// A run of one thread: coroutines share it without locks.
struct load_run {
    explicit load_run(const load_options& given) : options(given), client(context) {}

    const load_options& options;
    boost::asio::io_context context;
    adapters::http_client client;
    std::vector<entry_book> books;
    std::vector<planned_request> plan;
    std::vector<request_result> results;
    std::string run_id;
    std::size_t in_flight = 0;
};

void rethrow(const std::exception_ptr& thrown) {
    if (thrown) {
        std::rethrow_exception(thrown);
    }
}

void start_request(load_run& run, std::size_t number, clock::time_point planned_at) {
    if (run.in_flight >= run.options.connections) {
        run.results[number].priority = run.plan[number].priority;
        run.results[number].error = "connection_limit";
        return;
    }
    ++run.in_flight;
    boost::asio::spawn(
        run.context,
        [&run, number, planned_at](const yield_context& yield) {
            const auto& request = run.plan[number];
            const load_target target{run.client, run.books.at(request.key_index), run.options, run.run_id};
            run.results[number] = send_planned(target, request, number, planned_at, yield);
            --run.in_flight;
        },
        rethrow);
}

void start_all(load_run& run, const yield_context& yield) {
    const auto start = clock::now();
    for (std::size_t i = 0; i < run.plan.size(); ++i) {
        const auto planned_at = start + run.plan[i].at;
        adapters::sleep_for(planned_at - clock::now(), yield);
        start_request(run, i, planned_at);
    }
}

} // namespace

core::result<std::vector<std::string>> read_keys(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return core::fail(core::error_kind::bad_request, "--keys_file " + path + ": " + std::strerror(errno));
    }
    std::vector<std::string> keys;
    for (std::string line; std::getline(file, line);) {
        while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) {
            line.pop_back();
        }
        if (!line.empty()) {
            keys.push_back(line);
        }
    }
    if (keys.empty()) {
        return core::fail(core::error_kind::bad_request, "--keys_file " + path + " has no API key");
    }
    return keys;
}

outcome run_load(const load_options& options) {
    if (const auto wrong = check_load_options(options); !wrong.empty()) {
        return failed(exit_code::usage, wrong);
    }
    load_run run(options);
    run.run_id = "load-" + core::random_hex(8);
    run.plan = plan_load(options);
    run.results.resize(run.plan.size());
    for (std::size_t i = 0; i < options.keys.size(); ++i) {
        run.books.push_back({options.node, run.run_id + "-" + std::to_string(i)});
    }
    boost::asio::spawn(
        run.context, [&run](const yield_context& yield) { start_all(run, yield); }, rethrow);
    run.context.run();
    return report_load(run.results);
}

} // namespace figspoke::cli
