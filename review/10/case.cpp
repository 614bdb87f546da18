#include "kit-2.h"

// Requests of long conversations list 39 parts of their prompt. One part, the 36th of some requests, crashes
// each engine that begins an answer on it; a crashed engine is back after three seconds. POSITION puts the
// part elsewhere.

using namespace review;

namespace {

constexpr std::size_t engine_count = 16;
constexpr int shared_parts = 38;
constexpr int sound_per_s = 40;
constexpr int tainted_per_s = 2;
constexpr int before_s = 4;
constexpr int tainted_s = 30;
constexpr int head_to_crash_ms = 10;
constexpr int down_ms = 3000;
constexpr int pieces = 5;
constexpr int first_piece_ms = 150;
constexpr int piece_ms = 40;
constexpr double stable_window_s = 3;
constexpr std::size_t counted_crash = 5;
constexpr std::size_t allowed = 3;
constexpr const char* bad_part = "bad0bad0";

std::string prompt(bool tainted, int position, int number) {
    std::string text;
    char part[40];
    for (int i = 1; i <= shared_parts; ++i) {
        if (tainted && i == position) {
            text += std::string(bad_part) + ":40,";
            continue;
        }
        std::snprintf(part, sizeof(part), "%08x:40,", 0x5c1e0000 + i);
        text += part;
    }
    std::snprintf(part, sizeof(part), "%08x:40", 0x70000000 + number);
    return text + part;
}

struct tally {
    std::atomic<int> asked{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> lost{0};
};

} // namespace

int main(int, char** arguments) {
    const std::string folder = arguments[1];
    record log(folder + "/record.txt");
    const int position = std::stoi(setting("POSITION", "36"));
    const temporary_directory directory;
    store platform("127.0.70.9");
    std::vector<std::unique_ptr<engine>> engines(engine_count);
    std::array<std::atomic<bool>, engine_count> crashing{};
    std::mutex mutex;
    std::vector<double> crashes;
    std::vector<double> arrivals;
    std::atomic<int> starts{1000};
    const auto enter = [&](std::size_t i) {
        platform.put("servers/" + engines[i]->id(), engines[i]->entry("model", "v1", "zone-a", 64, ++starts));
    };
    for (std::size_t i = 0; i < engine_count; ++i) {
        const auto respond = [&, i](int socket, const message& request) {
            const bool tainted = request.header("x-prompt-prefix").find(bad_part) != std::string::npos;
            if (tainted) {
                const std::lock_guard lock(mutex);
                arrivals.push_back(log.now());
                log.line("engine: %s runs %s, which holds the part", engines[i]->id().c_str(),
                         request.header("x-request-id").c_str());
            }
            pause(first_piece_ms);
            if (!engines[i]->running() || !send_all(socket, stream_head(request))) {
                return false;
            }
            if (tainted) {
                pause(head_to_crash_ms);
                crashing[i] = true;
                return false;
            }
            for (int id = 1; id <= pieces; ++id) {
                if (!engines[i]->running() || !send_all(socket, chunk(event(id)))) {
                    return false;
                }
                pause(piece_ms);
            }
            return send_all(socket, last_chunk);
        };
        engines[i] = std::make_unique<engine>("127.0.70.9", "i-" + std::to_string(i + 1), respond);
        enter(i);
    }
    platform.put("op/config", configuration({route("draft", "streaming", "model", false)}));

    std::atomic<bool> stopping{false};
    std::list<std::thread> keepers;
    for (std::size_t i = 0; i < engine_count; ++i) {
        keepers.emplace_back([&, i] {
            while (!stopping) {
                if (!crashing[i].exchange(false)) {
                    pause(1);
                    continue;
                }
                engines[i]->crash();
                {
                    const std::lock_guard lock(mutex);
                    crashes.push_back(log.now());
                    log.line("engine: %s crashes", engines[i]->id().c_str());
                }
                pause(down_ms);
                crashing[i] = false;
                engines[i]->start();
                enter(i);
            }
        });
    }

    const auto ports = free_ports("127.0.70.1", 5);
    const std::vector<std::string> zones = {"zone-a", "zone-b", "zone-c"};
    std::vector<std::unique_ptr<node>> nodes;
    for (int i = 1; i <= 3; ++i) {
        nodes.push_back(std::make_unique<node>(
            "front-" + std::to_string(i), zones[std::size_t(i - 1)], "127.0.70." + std::to_string(i), ports,
            "127.0.70.1:" + std::to_string(ports[3]), platform.address(), directory.path()));
        nodes.back()->start();
    }
    const auto end = [&](int result) {
        stopping = true;
        for (auto& keeper : keepers) {
            keeper.join();
        }
        return result;
    };
    for (auto& front : nodes) {
        if (!front->wait_until_ready(15000)) {
            log.line("%s did not become ready", front->id().c_str());
            return end(not_run);
        }
    }
    pause(1500);

    std::atomic<int> next_id{0};
    const auto send = [&](bool tainted, tally& counts) {
        const auto number = ++next_id;
        const auto id = (tainted ? "tainted-" : "sound-") + std::to_string(number);
        auto headers = client_headers(id, 8000);
        headers.emplace_back("X-Model", "m1");
        headers.emplace_back("X-Token-Usage", "1560,20");
        headers.emplace_back("X-Prompt-Prefix", prompt(tainted, position, number));
        auto& front = *nodes[std::size_t(number) % nodes.size()];
        ++counts.asked;
        const auto got = ask(front.callers(), "POST", "/draft/" + std::to_string(number), headers, "", 8000);
        const bool served = got.status == 200 && got.complete;
        counts.served += served ? 1 : 0;
        counts.refused += got.status == 503 ? 1 : 0;
        counts.lost += !served && got.status != 503 ? 1 : 0;
        if (tainted || number % 100 == 0) {
            log.line("client: %s answered with %d, %s", id.c_str(), got.status,
                     served ? "whole" : "not served");
        }
    };
    // 0: before the tainted requests, 1: beside them.
    std::array<tally, 2> sound;
    tally tainted;
    std::atomic<int> phase{0};
    std::list<std::thread> callers;
    const auto add_callers = [&](int count, bool bad) {
        for (int i = 0; i < count; ++i) {
            callers.emplace_back([&, i, count, bad] {
                auto at = clock::now() + milliseconds(1000 * i / count);
                while (!stopping) {
                    std::this_thread::sleep_until(at);
                    send(bad, bad ? tainted : sound.at(std::size_t(phase.load())));
                    at = std::max(at + milliseconds(1000), clock::now());
                }
            });
        }
    };
    add_callers(sound_per_s, false);
    pause(before_s * 1000);
    phase = 1;
    if (trouble()) {
        log.line("requests with the part begin, as part %d of %d", position, shared_parts + 1);
        add_callers(tainted_per_s, true);
    }
    pause(tainted_s * 1000);
    stopping = true;
    for (auto& caller : callers) {
        caller.join();
    }
    end(0);

    log.line("sound requests before: %d asked, %d served", sound[0].asked.load(), sound[0].served.load());
    log.line("sound requests beside them: %d asked, %d served, %d answered with 503, %d lost",
             sound[1].asked.load(), sound[1].served.load(), sound[1].refused.load(), sound[1].lost.load());
    log.line("requests with the part: %d asked, %d answered with 503; engines ran %zu of them and crashed "
             "%zu times",
             tainted.asked.load(), tainted.refused.load(), arrivals.size(), crashes.size());
    if (sound[0].served < sound[0].asked * 0.9 ||
        (trouble() && crashes.size() < counted_crash && position > 32)) {
        return not_run;
    }
    std::sort(crashes.begin(), crashes.end());
    std::size_t late = 0;
    if (crashes.size() >= counted_crash) {
        const double from = crashes[counted_crash - 1] + stable_window_s;
        late = std::size_t(
            std::count_if(arrivals.begin(), arrivals.end(), [&](double at) { return at > from; }));
    }
    log.line(
        "requests with the part that reached engines later than stableWindowMs after the fifth crash: %zu, "
        "%zu are allowed",
        late, allowed);
    return late > allowed ? broken : held;
}
