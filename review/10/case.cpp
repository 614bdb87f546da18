#include "kit-2.h"

// Two of eight engines answer with a long head of senseless fields and a body without end that comes byte by
// byte. The platform ends a process that exceeds its memory. All clients are ordinary, and keep their
// connections.

using namespace review;

namespace {

constexpr std::size_t engine_count = 8;
constexpr std::size_t faulty = 2;
// `memory_mb` of the sheet.
constexpr long memory_limit_kb = 110 * 1024;
constexpr int work_ms = 300;
constexpr int before_s = 3;
constexpr int faulty_s = 12;
// Requests on kept connections that may be lost by the rule.
constexpr int allowed_losses = 3;

} // namespace

int main(int, char** arguments) {
    const std::string folder = arguments[1];
    record log(folder + "/record.txt");
    const int client_count = 100;
    const std::size_t head_bytes = 60000;
    const temporary_directory directory;
    store platform("127.0.71.9");
    std::mutex mutex;
    std::map<std::string, bool> reached;
    std::atomic<bool> in_trouble{false};
    std::atomic<int> spoilt{0};
    std::vector<std::unique_ptr<engine>> engines;
    std::string senseless;
    while (senseless.size() + 3 < head_bytes) {
        senseless += "x:\r\n";
    }
    for (std::size_t i = 0; i < engine_count; ++i) {
        const auto respond = [&, i](int socket, const message& request) {
            const bool spoil = in_trouble && i < faulty;
            {
                const std::lock_guard lock(mutex);
                reached[request.header("x-request-id")] = !spoil;
            }
            pause(work_ms);
            if (!spoil) {
                return send_all(socket, plain_answer(request, 200, "stock"));
            }
            ++spoilt;
            if (!send_all(socket, "HTTP/1.1 200 OK\r\n" + engine_headers(request) + senseless + "\r\n")) {
                return false;
            }
            while (send_all(socket, "x")) {
                pause(50);
            }
            return false;
        };
        engines.push_back(std::make_unique<engine>("127.0.71.9", "i-" + std::to_string(i + 1), respond));
        platform.put("servers/" + engines[i]->id(), engines[i]->entry("desk", "v1", "zone-a", 16, 1000));
    }
    platform.put("op/config", configuration({route("look", "safe", "desk", false)}));
    node front("front-1", "zone-a", "127.0.71.1", free_ports("127.0.71.1", 5), "127.0.71.1:1",
               platform.address(), directory.path());
    front.start();
    if (!front.wait_until_ready(15000)) {
        log.line("the node did not become ready");
        return not_run;
    }
    pause(1000);

    std::atomic<bool> stopping{false};
    std::atomic<int> served{0};
    std::atomic<int> failed{0};
    std::atomic<int> lost{0};
    std::list<std::thread> clients;
    for (int i = 0; i < client_count; ++i) {
        clients.emplace_back([&, i] {
            const int socket = connect_to(front.callers());
            for (int request = 1; !stopping; ++request) {
                const auto id = "ordinary-" + std::to_string(i) + "-" + std::to_string(request);
                std::string bytes = "GET /look/1 HTTP/1.1\r\n";
                for (const auto& [name, value] : client_headers(id, 7000)) {
                    bytes += name + ": " + value + "\r\n";
                }
                send_all(socket, bytes + "\r\n");
                const auto got = read_answer(socket, 8500);
                if (got.complete) {
                    ++(got.status == 200 ? served : failed);
                    continue;
                }
                const std::lock_guard lock(mutex);
                const auto found = reached.find(id);
                const bool sound = found != reached.end() && found->second;
                lost += sound && got.status == 0 ? 1 : 0;
                log.line("%s: the kept connection ended with status %d; %s", id.c_str(), got.status,
                         sound ? "a sound engine had the request" : "no sound engine had the request");
                break;
            }
            ::close(socket);
        });
    }
    std::thread limiter([&] {
        while (!stopping && front.running()) {
            const long resident = front.memory_kb("VmRSS");
            if (resident > memory_limit_kb) {
                log.line("resident memory %ld KB of %ld: the platform kills the process", resident,
                         memory_limit_kb);
                front.signal(SIGKILL);
                return;
            }
            pause(10);
        }
    });
    pause(before_s * 1000);
    log.line("%d served, resident memory %ld KB", served.load(), front.memory_kb("VmRSS"));
    if (trouble()) {
        in_trouble = true;
        log.line("%zu of %zu engines are in trouble", faulty, engine_count);
    }
    pause(faulty_s * 1000);
    stopping = true;
    limiter.join();
    const bool runs = front.running();
    const long peak = runs ? front.memory_kb("VmHWM") : 0;
    for (auto& client : clients) {
        client.join();
    }
    log.line("spoilt answers begun: %d", spoilt.load());
    log.line(
        "the process %s (peak %ld KB); requests on kept connections: %d served, %d with another status, %d "
        "passed on to a sound engine and closed without an answer, %d allowed",
        runs ? "runs" : "was killed", peak, served.load(), failed.load(), lost.load(), allowed_losses);
    for (auto& one : engines) {
        one->connections().refuse();
        one->connections().reset();
    }
    return lost > allowed_losses ? broken : held;
}
