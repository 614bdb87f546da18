#include "kit-2.h"

// Clients that send many large bodies of legal size at once to the address at which callers look up addresses.
// Most stop just short of their end and stay open. The node's memory is that of a small deployment.

using namespace review;

namespace {

constexpr int clients = 60;
// The longest body that the configuration allows.
constexpr std::size_t body_bytes = 4194304;
constexpr long memory_limit_kb = 110 * 1024;

int begin_body(const std::string& address, int number) {
    const int socket = connect_to(address);
    if (socket < 0) {
        return -1;
    }
    const std::string head = "POST /lookup?name=shop.example&region=region-1&zone=zone-a HTTP/1.1\r\n"
                             "Host: shop.example\r\nX-Request-Id: crowd-" +
                             std::to_string(number) + "\r\nContent-Length: " + std::to_string(body_bytes) +
                             "\r\n\r\n";
    send_all(socket, head);
    return socket;
}

// Sends as far as the node takes the bytes.
void send_bodies(const std::vector<int>& sockets) {
    std::vector<std::size_t> sent(sockets.size(), 0);
    const std::string piece(65536, 'x');
    const auto until = clock::now() + std::chrono::seconds(6);
    bool more = true;
    while (more && clock::now() < until) {
        more = false;
        for (std::size_t i = 0; i < sockets.size(); ++i) {
            const auto left = body_bytes - 1 - sent[i];
            if (sockets[i] < 0 || left == 0) {
                continue;
            }
            more = true;
            const auto size = ::send(sockets[i], piece.data(), std::min(piece.size(), left),
                                     MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size > 0) {
                sent[i] += std::size_t(size);
            } else if (size < 0 && errno != EAGAIN) {
                sent[i] = body_bytes - 1;
            }
        }
    }
}

} // namespace

int main(int, char** arguments) {
    const std::string folder = arguments[1];
    record log(folder + "/record.txt");
    const temporary_directory directory;
    store platform("127.0.62.9");
    engine desk("127.0.62.9", "i-desk", [](int socket, const message& request) {
        return send_all(socket, plain_answer(request, 200, "stock of " + request.header("x-request-id")));
    });
    platform.put("servers/i-desk", desk.entry("desk", "v1", "zone-a", 6, 1000));
    platform.put("op/config", configuration({route("look", "safe", "desk", false)}));
    node front("front-1", "zone-a", "127.0.62.1", free_ports("127.0.62.1", 5), "127.0.62.1:1",
               platform.address(), directory.path());
    front.start();
    if (!front.wait_until_ready(15000)) {
        log.line("the node did not become ready");
        return not_run;
    }
    pause(1000);
    const auto before = ask(front.callers(), "GET", "/look/1", client_headers("before", 3000), "", 4000);
    const auto looked_up = ask(front.lookups(), "GET", "/lookup?name=shop.example&region=region-1&zone=zone-a",
                               {{"Host", "shop.example"}}, "", 2000);
    log.line("before the crowd: request %d, lookup %d, resident memory %ld KB of %ld", before.status,
             looked_up.status, front.memory_kb("VmRSS"), memory_limit_kb);
    if (before.status != 200 || looked_up.status != 200) {
        return not_run;
    }
    std::vector<int> sockets;
    if (trouble()) {
        for (int i = 0; i < clients; ++i) {
            sockets.push_back(begin_body(front.lookups(), i));
        }
        log.line("%d clients begin a body of %zu bytes at the lookup address", clients, body_bytes);
        send_bodies(sockets);
    }
    for (int i = 0; i < 6; ++i) {
        pause(500);
        log.line("resident memory %ld KB, peak %ld KB, limit %ld KB", front.memory_kb("VmRSS"),
                 front.memory_kb("VmHWM"), memory_limit_kb);
    }
    const bool runs = front.running();
    const long peak = runs ? front.memory_kb("VmHWM") : 0;
    const auto after = ask(front.callers(), "GET", "/look/2", client_headers("after", 3000), "", 4000);
    log.line("the process %s; an ordinary request is answered with %d; peak %ld KB, limit %ld KB: %s",
             runs ? "runs" : "has ended", after.status, peak, memory_limit_kb,
             peak > memory_limit_kb ? "the platform kills it" : "within the limit");
    for (const int socket : sockets) {
        if (socket >= 0) {
            ::close(socket);
        }
    }
    return !runs || peak > memory_limit_kb || after.status != 200 ? broken : held;
}
