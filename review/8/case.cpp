#include "kit-2.h"

// A stream in chunks whose engine stops in the middle of an event and closes the framing properly.

using namespace review;

namespace {

constexpr int pieces = 6;
constexpr int stops_within = 4;

// Sends the pieces after `Last-Event-Id`. With `stops`, stops in the middle of one of them.
bool stream(int socket, const message& request, bool stops) {
    const auto last = request.header("last-event-id");
    if (!send_all(socket, stream_head(request))) {
        return false;
    }
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= pieces; ++id) {
        if (stops && id == stops_within) {
            const auto whole = event(id);
            return send_all(socket, chunk(whole.substr(0, whole.size() / 2)) + last_chunk);
        }
        if (!send_all(socket, chunk(event(id)))) {
            return false;
        }
        pause(40);
    }
    return send_all(socket, last_chunk);
}

} // namespace

int main(int, char** arguments) {
    const std::string folder = arguments[1];
    record log(folder + "/record.txt");
    const temporary_directory directory;
    store platform("127.0.61.9");
    std::atomic<bool> stops{false};
    std::atomic<int> runs{0};
    const auto serve = [&](const std::string& name) {
        return [&, name](int socket, const message& request) {
            const bool first = request.header("last-event-id").empty();
            ++runs;
            log.line("%s runs %s, Last-Event-Id \"%s\"", name.c_str(), request.header("x-request-id").c_str(),
                     request.header("last-event-id").c_str());
            return stream(socket, request, stops && first);
        };
    };
    engine first("127.0.61.9", "i-1", serve("i-1"));
    engine second("127.0.61.9", "i-2", serve("i-2"));
    platform.put("servers/i-1", first.entry("model", "v1", "zone-a", 64, 1000));
    platform.put("servers/i-2", second.entry("model", "v1", "zone-b", 64, 1000));
    platform.put("op/config", configuration({route("chat", "streaming", "model", true),
                                             route("once", "streaming", "model", false)}));
    node front("front-1", "zone-a", "127.0.61.1", free_ports("127.0.61.1", 5), "127.0.61.1:1",
               platform.address(), directory.path());
    front.start();
    if (!front.wait_until_ready(15000)) {
        log.line("the node did not become ready");
        return not_run;
    }
    pause(1500);
    stops = trouble();
    int ended_early = 0;
    int ended_whole = 0;
    for (int i = 0; i < 20; ++i) {
        const std::string path = i % 2 == 0 ? "/chat/" : "/once/";
        const auto id = "request-" + std::to_string(i);
        const auto got =
            ask(front.callers(), "POST", path + std::to_string(i), client_headers(id, 8000), "prompt", 9000);
        int events = 0;
        while (got.body.find(event(events + 1)) != std::string::npos) {
            ++events;
        }
        const bool success = got.status == 200 && got.complete;
        log.line("client: %s%d status %d, %d of %d events whole, %s", path.c_str(), i, got.status, events,
                 pieces, got.complete ? "ended as complete" : "broken off");
        ended_early += success && events < pieces ? 1 : 0;
        ended_whole += success && events == pieces ? 1 : 0;
    }
    log.line("streams that ended as complete before their last piece: %d; whole: %d; runs: %d", ended_early,
             ended_whole, runs.load());
    if (!trouble() && ended_whole < 20) {
        return not_run;
    }
    return ended_early > 0 ? broken : held;
}
