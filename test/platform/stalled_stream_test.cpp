#include <atomic>
#include <chrono>
#include <csignal>
#include <mutex>
#include <vector>

#include <doctest/doctest.h>

#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

namespace {

// A stream that has begun with this deadline may move after a pause of 2.5 s, and one that has not begun
// after 4 s.
constexpr milliseconds deadline{5000};
constexpr milliseconds long_deadline{8000};
constexpr int pause_ms = 3300;
constexpr int silence_ms = 5000;

std::string event(int id) {
    return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) + "\n\n";
}

/// Engines of one service that pause, and what they saw.
struct slow_engines {
    /// Whether each engine is silent before the head of its answer, and not between two events.
    bool silent_at_first = false;
    std::atomic<int> begun{0};
    std::atomic<int> given_up{0};

    void serve(engine_connection& connection, const engine_request& request) {
        ++begun;
        if (!silent_at_first) {
            connection.begin_stream(request);
            connection.send_chunk(event(1));
        }
        if (connection.wait_for_close(silent_at_first ? silence_ms : pause_ms)) {
            ++given_up;
            connection.shut();
            return;
        }
        if (silent_at_first) {
            connection.begin_stream(request);
            connection.send_chunk(event(1));
        }
        connection.send_chunk(event(2));
        connection.end_stream();
    }
};

/// A node before two engines that pause; the second one's process is gone where `second_is_down`.
struct one_node {
    explicit one_node(bool second_is_down = false) : first(handler()), second(handler()) {
        cluster.configure(1, {"k1"});
        cluster.add_engine("i-1", "model", first);
        if (second_is_down) {
            second.crash();
        }
        cluster.add_engine("i-2", "model", second);
        node = &cluster.start_node();
    }

    engine_stand_in::handler handler() {
        return [this](engine_connection& connection, const engine_request& request) {
            engines.serve(connection, request);
        };
    }

    /// Leaves the node no repeat once `window` has passed without a request.
    void limit_repeats(const std::string& ratio, const std::string& window = "10.0") {
        auto settings = cluster.settings_of(*node);
        const auto end = settings.find("repeat_ratio");
        cluster.write_settings(*node, settings.substr(0, end) + "repeat_ratio = " + ratio +
                                          "\nrepeat_slack = 0\nrepeat_window_s = " + window + "\n");
        node->process->send_signal(SIGHUP);
        REQUIRE(
            wait_until([&] { return node->process->output().find("\"reloaded\"") != std::string::npos; }));
    }

    void check_goes_on(const kept_answer& answer) const {
        CHECK(answer.status == 200);
        CHECK(answer.body == event(1) + event(2));
        CHECK(answer.complete);
        CHECK(engines.begun.load() == 1);
        CHECK(engines.given_up.load() == 0);
    }

    relay_cluster cluster;
    slow_engines engines;
    engine_stand_in first;
    engine_stand_in second;
    relay_process* node = nullptr;
};

} // namespace

TEST_CASE("a stream that stalls is not cut while the repeat budget is used up") {
    one_node fixture;
    fixture.limit_repeats("0.0");
    kept_connection caller(fixture.node->callers);
    caller.send("/chat/1", "r1", deadline);
    fixture.check_goes_on(caller.read(deadline));
}

TEST_CASE("a stream that stalls on a node that is being stopped is not cut") {
    // Guards against a budget that shrinks as the node gets no more requests while its streams go on.
    one_node fixture;
    fixture.limit_repeats("1.5", "1.0");
    kept_connection caller(fixture.node->callers);
    caller.send("/chat/1", "r1", deadline);
    REQUIRE(wait_until([&] { return fixture.engines.begun == 1; }));
    fixture.node->process->send_signal(SIGTERM);
    fixture.check_goes_on(caller.read(deadline));
    CHECK(fixture.node->process->wait_for_exit(deadline) == 0);
}

TEST_CASE("a stream that stalls is not given up for an engine that can't be reached") {
    one_node fixture(true);
    kept_connection caller(fixture.node->callers);
    caller.send("/chat/1", "r1", deadline);
    fixture.check_goes_on(caller.read(deadline));
}

TEST_CASE("a stream that stalls before its first byte is not given up while the repeat budget is used up") {
    one_node fixture;
    fixture.engines.silent_at_first = true;
    fixture.limit_repeats("0.0");
    kept_connection caller(fixture.node->callers);
    caller.send("/chat/1", "r1", long_deadline);
    fixture.check_goes_on(caller.read(long_deadline));
}

TEST_CASE("the connection of a stream that stalls is closed when another engine continues it") {
    // Guards against two engines that work on one stream, and against one that is closed long before the
    // other begins.
    std::mutex mutex;
    std::vector<steady::time_point> closed;
    std::vector<steady::time_point> continued;
    const auto note = [&](std::vector<steady::time_point>& times) {
        const std::lock_guard lock(mutex);
        times.push_back(steady::now());
    };
    const auto serve = [&](engine_connection& connection, const engine_request& request) {
        connection.begin_stream(request);
        if (request.headers.count("last-event-id") > 0) {
            note(continued);
            connection.send_chunk(event(2));
            connection.end_stream();
            return;
        }
        connection.send_chunk(event(1));
        if (connection.wait_for_close(silence_ms)) {
            note(closed);
        }
        connection.shut();
    };
    engine_stand_in first(serve);
    engine_stand_in second(serve);
    relay_cluster cluster;
    cluster.configure(1, {"k1"});
    cluster.add_engine("i-1", "model", first);
    cluster.add_engine("i-2", "model", second);
    kept_connection caller(cluster.start_node().callers);
    caller.send("/chat/1", "r1", deadline);
    const auto answer = caller.read(deadline);
    CHECK(answer.complete);
    CHECK(answer.body == event(1) + event(2));
    REQUIRE(wait_until([&] {
        const std::lock_guard lock(mutex);
        return closed.size() == 1;
    }));
    const std::lock_guard lock(mutex);
    REQUIRE(continued.size() == 1);
    CHECK(std::chrono::abs(closed[0] - continued[0]) < milliseconds(400));
}
