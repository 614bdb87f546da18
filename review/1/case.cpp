// An engine refuses an order because it is full, and sends a second copy of that refusal late, at the point
// where the next answer on the connection is expected. The node has sent the same order again on this very
// connection and takes the copy for the answer to its second send: it sends the order a third time, although
// the engine is running it.
#include "kit.h"

using namespace kit;

namespace {

constexpr int deadline_ms = 4000;
constexpr int clients = 4;
constexpr std::int64_t run_ms = 25000;
// The engine is full for this long at a time, since other callers use it too.
constexpr std::int64_t full_every_ms = 2500;
constexpr std::int64_t full_for_ms = 60;
constexpr int work_ms = 60;

std::mutex results_mutex;
std::map<std::string, int> runs;
std::map<std::string, int> statuses;
int answers = 0;
int refusals = 0;
int copies = 0;
std::atomic<bool> stopping{false};

bool is_full() {
    return now_ms() % full_every_ms < full_for_ms;
}

struct connection_state {
    // A copy of the last refusal that is still to be sent.
    std::string late_copy;
};

// Serves all requests of one connection, so that a late answer can precede the next one.
void serve(engine&, stream& link, const request& first) {
    connection_state state;
    std::optional<request> asked = first;
    while (asked) {
        const auto id = asked->field("x-request-id");
        if (!state.late_copy.empty()) {
            note("engine: sends the late copy of the refusal on the connection on which %s has come",
                 id.c_str());
            link.send(std::exchange(state.late_copy, {}));
        }
        std::unique_lock lock(results_mutex);
        ++answers;
        if (is_full()) {
            ++refusals;
            const auto text = engine::refusal(*asked);
            // At most 3 in 100 answers have a second copy.
            if (trouble() && (copies + 1) * 100 <= answers * 3) {
                ++copies;
                state.late_copy = text;
            }
            lock.unlock();
            note("engine: full, refuses %s", id.c_str());
            link.send(text);
        } else {
            const int run = ++runs[id];
            lock.unlock();
            note("engine: runs %s%s", id.c_str(), run > 1 ? " AGAIN" : "");
            sleep_ms(work_ms);
            link.send(engine::whole(*asked, 200, "order placed, run " + std::to_string(run)));
        }
        if (!link.open()) {
            return;
        }
        asked = read_request(link);
    }
    link.close();
}

void place_orders(const node& to, int number) {
    client connection;
    bool connected = false;
    for (int i = 0; !stopping; ++i) {
        if (!connected) {
            connected = connection.connect(to.callers());
        }
        const auto id = "order-" + std::to_string(number) + "-" + std::to_string(i);
        connection.send("POST", "/order/" + std::to_string(i), request_fields(id, "key-1", deadline_ms),
                        "two bales");
        note("client: sent %s", id.c_str());
        const auto got = connection.read(deadline_ms + 1000);
        note("client: %s answered %d", id.c_str(), got.status);
        connected = !connection.must_close(got);
        if (!connected) {
            connection.close();
        }
        {
            const std::lock_guard lock(results_mutex);
            statuses[id] = got.status;
        }
        sleep_ms(40);
    }
}

} // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    store platform("127.0.0.1");
    engine desk(platform, "i-desk-1", "desk", 6, serve);
    platform.put("op/config", make_config(1, {{"order", "unsafe", "desk", deadline_ms, 300, 3, false}},
                                          {{{"name", "tenant-1"}, {"apiKeys", {"key-1"}}}})
                                  .dump());
    auto only = make_node(1, platform);
    only->start();
    only->wait_ready();
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] { place_orders(*only, i); });
    }
    sleep_ms(run_ms);
    stopping = true;
    for (auto& thread : threads) {
        thread.join();
    }
    int twice = 0;
    int denied = 0;
    int served = 0;
    const std::lock_guard lock(results_mutex);
    for (const auto& [id, status] : statuses) {
        served += status == 200 ? 1 : 0;
        if (runs[id] > 1) {
            ++twice;
            note("%s: answered %d, run %d times", id.c_str(), status, runs[id]);
        }
        if ((status == 503 || status == 429) && runs[id] > 0) {
            ++denied;
            note("%s: answered %d (not run), although it was run", id.c_str(), status);
        }
    }
    note("orders %zu, answered 200: %d, refusals of the engine %d, late copies %d of %d answers",
         statuses.size(), served, refusals, copies, answers);
    note("run more than once: %d; answered 429 or 503 although run: %d", twice, denied);
    if (served == 0) {
        give_up("no order was served");
    }
    leave(twice + denied > 0 ? rule_broken : rule_held);
}
