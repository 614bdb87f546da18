// Measures real nodes and stand-ins on loopback and prints one line a figure:
// `measure=NAME baseline=X figspoke=Y limit=Z unit=U`. Run it on an idle machine.

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "adapters/await.h"
#include "adapters/http_client.h"
#include "core/time.h"
#include "support/process/fleet.h"

using namespace figspoke;
using namespace figspoke::test;
using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr int overhead_rate = 500;
constexpr std::chrono::seconds overhead_time{6};
constexpr std::chrono::seconds control_time{8};
constexpr int spread_edits = 20;

void print_measure(const std::string& name, const std::string& baseline, double value,
                   const std::string& limit, const std::string& unit) {
    std::printf("measure=%s baseline=%s figspoke=%.3f limit=%s unit=%s\n", name.c_str(), baseline.c_str(),
                value, limit.c_str(), unit.c_str());
    std::fflush(stdout);
}

std::string format(double value) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", value);
    return text;
}

double percentile(std::vector<double> values, double share) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

fleet_spec measured_fleet(int nodes) {
    fleet_spec spec;
    spec.nodes = nodes;
    spec.node_threads = 2;
    spec.upstreams = {{"engine",
                       {"small@1"},
                       {},
                       {"--slots=64", "--first_token_ms=0", "--token_ms=0", "--answer_tokens_min=1",
                        "--answer_tokens_max=1", "--threads=4"}}};
    spec.edit_table = [](core::table& table) {
        for (auto& [key, row] : table.rows) {
            if (key.kind == "upstream") {
                row.columns["slots"] = "64";
            }
        }
    };
    return spec;
}

adapters::http_call chat_call(const std::string& address, int number) {
    const json body = {{"model", "small@1"},
                       {"messages", json::array({{{"role", "user"}, {"content", std::to_string(number)}}})},
                       {"max_tokens", 8},
                       {"stream", false}};
    adapters::http_call call;
    call.address = address;
    call.method = "POST";
    call.target = "/v1/chat/completions";
    call.headers = {{"content-type", "application/json"},
                    {"authorization", std::string("Bearer ") + test_api_key}};
    call.body = body.dump();
    return call;
}

struct load_result {
    std::vector<double> ms;
    int failed = 0;
};

// Sends requests at a fixed rate whatever the answers take, and times each from its planned start.
load_result run_load(const std::string& address) {
    boost::asio::io_context context;
    adapters::http_client client(context);
    load_result result;
    std::mutex mutex;
    const int count = overhead_rate * static_cast<int>(overhead_time.count());
    const auto begin = steady::now() + std::chrono::milliseconds(100);
    for (int i = 0; i < count; ++i) {
        adapters::spawn_coroutine(context, [&, i](const boost::asio::yield_context& yield) {
            const auto planned = begin + std::chrono::microseconds(1000000LL * i / overhead_rate);
            adapters::sleep_for(planned - steady::now(), yield);
            const auto answer = client.fetch(chat_call(address, i), yield);
            const double taken = core::to_seconds(steady::now() - planned) * 1000;
            const std::lock_guard lock(mutex);
            if (answer && answer->status == 200) {
                result.ms.push_back(taken);
            } else {
                ++result.failed;
            }
        });
    }
    std::thread second([&] { context.run(); });
    context.run();
    second.join();
    return result;
}

void measure_overhead() {
    fleet nodes(measured_fleet(3));
    run_load(nodes.node(0));
    const auto direct = run_load(nodes.upstream("engine"));
    const auto routed = run_load(nodes.node(0));
    for (const double share : {0.5, 0.99}) {
        const double base = percentile(direct.ms, share);
        print_measure(share < 0.9 ? "node_overhead_p50" : "node_overhead_p99", format(base),
                      percentile(routed.ms, share) - base, share < 0.9 ? "-" : "2", "ms");
    }
    print_measure("node_overhead_failed", std::to_string(direct.failed), routed.failed, "0", "requests");
}

bool all_at(fleet& nodes, std::uint64_t revision) {
    for (int i = 0; i < nodes.node_count(); ++i) {
        if (json_of(http_get(nodes.node(i), "/admin/status"))["table_revision"] != revision) {
            return false;
        }
    }
    return true;
}

// The time of each edit includes that of asking every node, which is part of the figure.
void measure_spread() {
    fleet nodes(measured_fleet(7));
    std::vector<double> ms;
    for (int i = 0; i < spread_edits; ++i) {
        nodes.change_table([i](core::table& table) {
            table.rows.at({"version", "small@1"}).columns["price_in"] = std::to_string(100 + i);
        });
        const auto stored = steady::now();
        const auto revision = nodes.read_table().revision;
        if (!wait_until([&] { return all_at(nodes, revision); })) {
            std::cerr << "revision " << revision << " is not in force on every node\n";
        }
        ms.push_back(core::to_seconds(steady::now() - stored) * 1000);
    }
    print_measure("config_spread_max", "-", percentile(ms, 1), "1000", "ms");
    print_measure("config_spread_p50", "-", percentile(ms, 0.5), "-", "ms");
}

double cpu_seconds(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double resident_mb(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

double metric(const std::string& address, const std::string& name) {
    std::istringstream lines(http_get(address, "/metrics").body);
    for (std::string line; std::getline(lines, line);) {
        if (line.rfind(name + " ", 0) == 0) {
            return std::stod(line.substr(name.size() + 1));
        }
    }
    return 0;
}

double kv_calls(const fleet& nodes) {
    const json counts = get_counts(nodes.kv());
    double sum = 0;
    for (const auto& [name, value] : counts.items()) {
        sum += value.is_number() ? value.get<double>() : 0;
    }
    return sum;
}

struct control_sample {
    double cpu = 0;
    double bytes_out = 0;
    double bytes_in = 0;
    double kv = 0;
};

control_sample take_sample(fleet& nodes) {
    control_sample sample;
    for (int i = 0; i < nodes.node_count(); ++i) {
        sample.cpu += cpu_seconds(nodes.node_process(i).pid());
        sample.bytes_out += metric(nodes.node(i), "figspoke_mesh_bytes_out");
        sample.bytes_in += metric(nodes.node(i), "figspoke_mesh_bytes_in");
    }
    sample.kv = kv_calls(nodes);
    return sample;
}

double cpu_of_nodes(fleet& nodes) {
    double sum = 0;
    for (int i = 0; i < nodes.node_count(); ++i) {
        sum += cpu_seconds(nodes.node_process(i).pid());
    }
    return sum;
}

double bytes_of_nodes(fleet& nodes) {
    double sum = 0;
    for (int i = 0; i < nodes.node_count(); ++i) {
        sum += metric(nodes.node(i), "figspoke_mesh_bytes_out");
    }
    return sum;
}

// What one request costs all nodes together: processor time and mesh messages. Most of the mesh's part are
// the copy of the charge and its way to the shard's owner.
void measure_request() {
    fleet nodes(measured_fleet(3));
    run_load(nodes.node(0));
    const double cpu = cpu_of_nodes(nodes);
    const double bytes = bytes_of_nodes(nodes);
    const double writes = get_counts(nodes.kv()).at("writes").get<double>();
    const auto result = run_load(nodes.node(0));
    const auto count = static_cast<double>(result.ms.size());
    print_measure("request_cpu", "-", (cpu_of_nodes(nodes) - cpu) / count * 1e6, "-", "us");
    print_measure("request_mesh_bytes", "-", (bytes_of_nodes(nodes) - bytes) / count, "-", "bytes");
    print_measure("request_kv_writes", "1",
                  (get_counts(nodes.kv()).at("writes").get<double>() - writes) / count, "-", "writes");
    print_measure("loaded_memory", "-", resident_mb(nodes.node_process(0).pid()), "-", "MB");
}

// Processor time of all nodes for each streamed token, beside that of a request.
void measure_token() {
    constexpr int streams = 200;
    constexpr int tokens = 256;
    fleet_spec spec = measured_fleet(3);
    spec.upstreams.front().flags = {"--slots=64",
                                    "--first_token_ms=0",
                                    "--token_ms=0",
                                    "--answer_tokens_min=256",
                                    "--answer_tokens_max=256",
                                    "--threads=4"};
    fleet nodes(spec);
    const json body = {{"model", "small@1"},
                       {"messages", json::array({{{"role", "user"}, {"content", "long"}}})},
                       {"max_tokens", tokens},
                       {"stream", true}};
    const double before = cpu_of_nodes(nodes);
    for (int i = 0; i < streams; ++i) {
        nodes.chat(0, body);
    }
    print_measure("token_cpu", "-", (cpu_of_nodes(nodes) - before) / (streams * tokens) * 1e6, "-", "us");
}

// Processor time of three idle nodes by the number of engines, whose reports they read.
void measure_upstreams(int count) {
    fleet_spec spec = measured_fleet(3);
    for (int i = 1; i < count; ++i) {
        spec.upstreams.push_back({"engine" + std::to_string(i), {"small@1"}, {}, {"--threads=1"}});
    }
    fleet nodes(spec);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const double before = cpu_of_nodes(nodes);
    std::this_thread::sleep_for(control_time);
    const double percent = 100 * (cpu_of_nodes(nodes) - before) / core::to_seconds(control_time) / 3;
    print_measure("control_cpu_upstreams_" + std::to_string(count), "-", percent, "2.9", "percent_of_core");
}

void measure_control(int count) {
    fleet nodes(measured_fleet(count));
    std::this_thread::sleep_for(std::chrono::seconds(6));
    const auto before = take_sample(nodes);
    const auto began = steady::now();
    std::this_thread::sleep_for(control_time);
    const auto after = take_sample(nodes);
    const double seconds = core::to_seconds(steady::now() - began);
    double memory = 0;
    for (int i = 0; i < count; ++i) {
        memory = std::max(memory, resident_mb(nodes.node_process(i).pid()));
    }
    const std::string suffix = "_" + std::to_string(count);
    print_measure("control_cpu" + suffix, "-", 100 * (after.cpu - before.cpu) / seconds / count, "2.9",
                  "percent_of_core");
    print_measure("control_memory" + suffix, "-", memory, "128", "MB");
    print_measure("control_bytes_out" + suffix, "-", (after.bytes_out - before.bytes_out) / seconds / count,
                  "25000", "bytes/s");
    print_measure("control_bytes_in" + suffix, "-", (after.bytes_in - before.bytes_in) / seconds / count,
                  "25000", "bytes/s");
    print_measure("control_kv_calls" + suffix, "-", (after.kv - before.kv) / seconds, "-", "calls/s_fleet");
}

} // namespace

int main(int argc, char** argv) {
    const std::string what = argc > 1 ? argv[1] : "all";
    if (what == "all" || what == "overhead") {
        measure_overhead();
    }
    if (what == "all" || what == "spread") {
        measure_spread();
    }
    if (what == "all" || what == "request") {
        measure_request();
        measure_token();
    }
    if (what == "all" || what == "upstreams") {
        for (const int count : {1, 8, 24}) {
            measure_upstreams(count);
        }
    }
    if (what == "all" || what == "control") {
        for (const int count : {3, 7, 14, 28}) {
            measure_control(count);
        }
    }
    return 0;
}
