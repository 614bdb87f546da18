// A planned stop: a node takes a further request on a kept connection long after it has stopped to accept new
// connections, passes it on, and ends before the answer does.
#include "kit.h"

using namespace kit;

namespace {

constexpr int workers = 24;
constexpr int stream_events = 50;
constexpr int event_gap_ms = 100;
constexpr int deadline_ms = 20000;
constexpr std::int64_t signal_at_ms = 4000;
constexpr std::int64_t grace_ms = 8000;
// Requests that were sent until then may be cut at the end of the grace time.
constexpr std::int64_t excused_ms = 3000;

struct sent_request {
    std::string id;
    std::int64_t sent_at = 0;
    std::int64_t ended_at = 0;
    int status = 0;
    bool complete = false;
    bool kept_connection = false;
    bool on_leaving_node = false;
};

std::mutex results_mutex;
std::vector<sent_request> results;
std::map<std::string, int> runs;
std::atomic<std::int64_t> signalled_at{-1};
std::atomic<bool> stopping{false};

void serve(engine&, stream& link, const request& asked) {
    const auto id = asked.field("x-request-id");
    {
        const std::lock_guard lock(results_mutex);
        ++runs[id];
    }
    note("engine: runs %s", id.c_str());
    const bool whole = engine::run_stream(link, asked, stream_events, event_gap_ms);
    if (!whole) {
        note("engine: %s: the node closed the connection before the end of the stream", id.c_str());
    }
}

// Sends one request after the other on one connection. Where the node has closed it or asks for its end, the
// client asks for addresses and makes a new one.
void work(int number, const node& first, const node& second) {
    client connection;
    bool connected = false;
    bool kept = false;
    std::string to;
    for (int i = 0; !stopping; ++i) {
        if (!connected) {
            const auto addresses = look_up({&first, &second});
            to = addresses.empty() ? second.callers() : addresses[std::size_t(number + i) % addresses.size()];
            connected = connection.connect(to);
            kept = false;
            if (!connected) {
                sleep_ms(50);
                continue;
            }
        }
        sent_request result;
        result.id = "w" + std::to_string(number) + "-" + std::to_string(i);
        result.kept_connection = kept;
        result.on_leaving_node = to == first.callers();
        result.sent_at = now_ms();
        auto fields = request_fields(result.id, "key-1", deadline_ms);
        fields["X-Model"] = "small";
        fields["X-Token-Usage"] = "1460,80";
        connection.send("POST", "/quote/" + std::to_string(i), fields, "a survey");
        note("client: sent %s to %s on a %s connection", result.id.c_str(),
             result.on_leaving_node ? "front-1" : "front-2", kept ? "kept" : "new");
        const auto got = connection.read(deadline_ms + 1000);
        note("client: %s answered %d, %s", result.id.c_str(), got.status, got.complete ? "whole" : "cut");
        result.ended_at = got.ended_at;
        result.status = got.status;
        result.complete = got.complete;
        connected = !connection.must_close(got);
        kept = true;
        if (!connected) {
            connection.close();
        }
        const std::lock_guard lock(results_mutex);
        results.push_back(result);
    }
}

} // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    store platform("127.0.0.1");
    engine first_engine(platform, "i-writer-1", "writer", 64, serve);
    engine second_engine(platform, "i-writer-2", "writer", 64, serve);
    platform.put("op/config", make_config(1, {{"quote", "streaming", "writer", deadline_ms, 2000, 3, true}},
                                          {{{"name", "tenant-1"}, {"apiKeys", {"key-1"}}}})
                                  .dump());
    auto leaving = make_node(1, platform);
    auto staying = make_node(2, platform);
    leaving->start();
    staying->start();
    leaving->wait_ready();
    staying->wait_ready();

    const auto began = now_ms();
    std::vector<std::thread> threads;
    for (int i = 0; i < workers; ++i) {
        threads.emplace_back([&, i] { work(i, *leaving, *staying); });
        // The phases of the workers differ.
        sleep_ms(stream_events * event_gap_ms / workers);
    }
    while (now_ms() < began + stream_events * event_gap_ms + signal_at_ms) {
        sleep_ms(10);
    }
    if (trouble()) {
        signalled_at = now_ms();
        note("front-1: SIGTERM");
        leaving->signal(SIGTERM);
        while (!leaving->ended() && now_ms() < signalled_at + grace_ms) {
            sleep_ms(10);
        }
        if (!leaving->ended()) {
            note("front-1: SIGKILL at the end of the grace time");
            leaving->end();
        }
    } else {
        sleep_ms(grace_ms);
    }
    sleep_ms(1000);
    stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }

    int lost = 0;
    int excused = 0;
    int whole = 0;
    for (const auto& each : results) {
        const bool ran = runs[each.id] > 0;
        const auto after = signalled_at >= 0 ? each.sent_at - signalled_at : -1;
        const bool cut = ran && !each.complete && each.ended_at - each.sent_at < deadline_ms - 100;
        const bool is_excused = cut && after <= excused_ms;
        whole += each.complete && each.status == 200 ? 1 : 0;
        if (cut) {
            note("%s: sent %lld ms after the signal on a %s connection of %s, run by an engine, cut %lld ms "
                 "after "
                 "the signal%s",
                 each.id.c_str(), (long long)after, each.kept_connection ? "kept" : "new",
                 each.on_leaving_node ? "front-1" : "front-2", (long long)(each.ended_at - signalled_at),
                 is_excused ? " (excused: sent within 3 s)" : "");
        }
        lost += cut && !is_excused ? 1 : 0;
        excused += is_excused ? 1 : 0;
    }
    note("requests %zu, whole answers %d, cut and excused %d, cut and not excused %d", results.size(), whole,
         excused, lost);
    if (whole == 0) {
        give_up("no request was served");
    }
    leave(lost > 0 ? rule_broken : rule_held);
}
