#include "kit-2.h"

#include <sys/resource.h>

// Many chunked bodies at once, in very small chunks, at the address at which callers look up addresses. They
// stop just short of their end and stay open; a client whose connection is closed comes again. The node's
// descriptors are lowered, as in the project's own tests of such clients.

using namespace review;

namespace {

constexpr rlim_t descriptors = 460;
constexpr int crowd = 1000;
constexpr int orders = 25;
constexpr int order_pause_ms = 1000;
constexpr int route_timeout_ms = 1000;
constexpr int patience_ms = 3000;
// The rule's bounds: a final answer within this after the route's time-out, for all but a quarter or eight.
constexpr int answer_slack_ms = 500;
constexpr int least_unanswered = 8;

void limit_descriptors(rlim_t count) {
    rlimit limit{};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = std::min(count, limit.rlim_max);
    ::setrlimit(RLIMIT_NOFILE, &limit);
}

bool is_closed(int socket) {
    char byte = 0;
    const auto size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

int begin_body(const std::string& address, int number) {
    const int socket = connect_to(address);
    if (socket >= 0) {
        send_all(socket, "POST /lookup?name=shop.example&region=region-1&zone=zone-a HTTP/1.1\r\n"
                         "Host: shop.example\r\nX-Request-Id: crowd-" +
                             std::to_string(number) +
                             "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\na\r\n2\r\nab\r\n");
    }
    return socket;
}

} // namespace

int main(int, char** arguments) {
    const std::string folder = arguments[1];
    record log(folder + "/record.txt");
    const temporary_directory directory;
    store platform("127.0.65.9");
    std::atomic<int> runs{0};
    engine desk("127.0.65.9", "i-desk", [&](int socket, const message& request) {
        ++runs;
        return send_all(socket, plain_answer(request, 200, "order placed"));
    });
    platform.put("servers/i-desk", desk.entry("desk", "v1", "zone-a", 6, 1000));
    auto order_route = route("order", "unsafe", "desk", false);
    order_route["timeoutMs"] = route_timeout_ms;
    order_route["targetLatencyMs"] = 100;
    platform.put("op/config", configuration({order_route}));
    node front("front-1", "zone-a", "127.0.65.1", free_ports("127.0.65.1", 5), "127.0.65.1:1",
               platform.address(), directory.path(), {}, int(descriptors));
    rlimit own{};
    ::getrlimit(RLIMIT_NOFILE, &own);
    // The process inherits the limit.
    limit_descriptors(descriptors);
    front.start();
    limit_descriptors(own.rlim_max);
    if (!front.wait_until_ready(15000)) {
        log.line("the node did not become ready");
        return not_run;
    }
    pause(1500);
    const auto before = ask(front.callers(), "POST", "/order/0", client_headers("order-before", patience_ms),
                            "one", patience_ms);
    log.line("before the crowd: an order is answered with %d", before.status);
    if (before.status != 200) {
        return not_run;
    }
    std::atomic<bool> stopping{false};
    std::atomic<int> begun{0};
    std::thread clients([&] {
        std::vector<int> sockets(std::size_t(trouble() ? crowd : 0), -1);
        while (!stopping) {
            for (auto& socket : sockets) {
                if (socket >= 0 && is_closed(socket)) {
                    ::close(socket);
                    socket = -1;
                }
                if (socket < 0) {
                    socket = begin_body(front.lookups(), ++begun);
                }
            }
            pause(50);
        }
        for (const int socket : sockets) {
            ::close(socket);
        }
    });
    pause(1500);
    std::atomic<int> served{0};
    std::atomic<int> unanswered_at_timeout{0};
    std::atomic<int> unanswered_later{0};
    std::list<std::thread> buyers;
    for (int i = 1; i <= orders; ++i) {
        buyers.emplace_back([&, i] {
            const auto id = "order-" + std::to_string(i);
            const auto began = clock::now();
            const auto got = ask(front.callers(), "POST", "/order/" + std::to_string(i),
                                 client_headers(id, patience_ms), "one", patience_ms);
            const auto took = std::chrono::duration_cast<milliseconds>(clock::now() - began).count();
            served += got.status == 200 ? 1 : 0;
            unanswered_at_timeout += got.status == 0 || took > route_timeout_ms ? 1 : 0;
            unanswered_later += got.status == 0 || took > route_timeout_ms + answer_slack_ms ? 1 : 0;
            log.line("%s: %s after %ld ms; connections begun by the crowd: %d", id.c_str(),
                     got.status == 0 ? "no answer" : ("answered with " + std::to_string(got.status)).c_str(),
                     long(took), begun.load());
        });
        pause(order_pause_ms);
    }
    for (auto& buyer : buyers) {
        buyer.join();
    }
    const bool runs_still = front.running();
    stopping = true;
    clients.join();
    log.line("the process %s; of %d orders %d were served, %d had no answer at the route's time-out and %d "
             "had none %d ms "
             "later; %d ran",
             runs_still ? "runs" : "has ended", orders, served.load(), unanswered_at_timeout.load(),
             unanswered_later.load(), answer_slack_ms, runs.load() - 1);
    if (!trouble() && served < orders) {
        return not_run;
    }
    const bool rule_broken = unanswered_later >= least_unanswered && unanswered_later > orders / 4 &&
                             unanswered_later > unanswered_at_timeout / 2;
    return !runs_still || rule_broken ? broken : held;
}
