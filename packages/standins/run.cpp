#include "standins/run.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include "standins/control.h"

namespace figspoke::standins {
namespace {

namespace asio = boost::asio;
using adapters::http_exchange;
using adapters::http_reply;
using nlohmann::json;

http_reply change_control(const standin_role& role, const std::string& body) {
    const json patch = json::parse(body, nullptr, false);
    if (!patch.is_object()) {
        return json_reply(400, {{"error", "control body is not a JSON object"}});
    }
    if (const auto problem = role.apply_control(patch)) {
        return json_reply(400, {{"error", *problem}});
    }
    return json_reply(200, role.read_control());
}

void dispatch(const standin_role& role, http_exchange& exchange) {
    const auto& request = exchange.request();
    if (request.path == "/control") {
        exchange.send(request.method == "POST" ? change_control(role, request.body)
                                               : json_reply(200, role.read_control()));
    } else if (request.path == "/counts") {
        exchange.send(json_reply(200, role.counts()));
    } else if (!role.is_down()) {
        role.serve(exchange);
    }
}

// The file appears with its whole content, so that a reader never sees half a number.
void write_port_file(const std::string& path, unsigned short port) {
    const std::string temporary = path + ".tmp";
    std::ofstream(temporary) << port << '\n';
    std::rename(temporary.c_str(), path.c_str());
}

void await_stop(asio::io_context& context, const standin_role& role, adapters::http_server& server,
                const asio::yield_context& yield) {
    asio::signal_set signals(context, SIGTERM, SIGINT);
    boost::system::error_code code;
    signals.async_wait(yield[code]);
    if (role.on_stop) {
        role.on_stop();
    }
    server.stop_accepting();
    const auto deadline = std::chrono::steady_clock::now() + role.stop_grace;
    while (server.running_requests() > 0 && std::chrono::steady_clock::now() < deadline) {
        adapters::sleep_for(std::chrono::milliseconds(5), yield);
    }
    context.stop();
}

void run_threads(asio::io_context& context, int count) {
    std::vector<std::thread> threads;
    for (int i = 1; i < count; ++i) {
        threads.emplace_back([&context] { context.run(); });
    }
    context.run();
    for (auto& thread : threads) {
        thread.join();
    }
}

} // namespace

int run_standin(const listen_options& options, const standin_role& role) {
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    const auto error_body = [](int status, std::string_view what) {
        return json_reply(status, {{"error", std::string(what)}});
    };
    adapters::http_server server(
        context, "127.0.0.1:" + std::to_string(options.port),
        [&role](http_exchange& exchange) { dispatch(role, exchange); }, error_body);
    if (!options.port_file.empty()) {
        write_port_file(options.port_file, server.port());
    }
    std::cout << json{{"event", "listening"}, {"port", server.port()}}.dump() << std::endl;
    asio::spawn(
        context, [&](const asio::yield_context& yield) { await_stop(context, role, server, yield); },
        asio::detached);
    run_threads(context, options.threads);
    return 0;
}

} // namespace figspoke::standins
