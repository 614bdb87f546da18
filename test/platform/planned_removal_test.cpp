#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "platform/support/kept_connection.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;

namespace {

// All requests share the first part. The second one leads those of different groups to different engines.
std::string parts_of(int group, const std::string& id) {
    return "X-Prompt-Prefix: first:20,group" + std::to_string(group) + ":20,own" + id + ":10\r\n";
}

/// Callers that share a part of their prompts and leave before they are answered, until they are told to
/// stop.
class leaving_callers {
  public:
    explicit leaving_callers(const std::string& address) {
        for (int i = 0; i < 12; ++i) {
            threads_.emplace_back([this, address, i] {
                for (int sent = 0; !stopping_; ++sent) {
                    const auto id = std::to_string(i) + "-" + std::to_string(sent);
                    kept_connection caller(address);
                    caller.send("/chat/1", id, milliseconds(8000), parts_of(i, id));
                    std::this_thread::sleep_for(milliseconds(60));
                }
            });
        }
    }

    void stop() {
        stopping_ = true;
        for (auto& thread : threads_) {
            thread.join();
        }
    }

  private:
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
};

} // namespace

TEST_CASE("engines that are removed by plan are not taken for crashed by the requests that they had") {
    // Guards against refusals of all requests with a common part once several engines are removed at once.
    engine_stand_in silent([](engine_connection& connection, const engine_request&) {
        connection.wait_for_close(8000);
        connection.shut();
    });
    engine_stand_in good([](engine_connection& connection, const engine_request& request) {
        connection.begin_stream(request);
        connection.send_chunk("id: 1\ndata: e1\n\n");
        connection.end_stream();
    });
    relay_cluster cluster;
    cluster.configure(1, {"k1"});
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
        cluster.add_engine(id, "model", silent);
    }
    auto& node = cluster.start_node();
    leaving_callers callers(node.callers);
    REQUIRE(wait_until([&] { return silent.requests().size() > 24; }));
    for (const auto* id : {"i-1", "i-2", "i-3", "i-4"}) {
        cluster.store().remove(std::string("servers/") + id);
    }
    const bool removed = wait_until([&] {
        const auto log = node.process->output();
        return log.find("\"removed\":[\"i-") != std::string::npos;
    });
    callers.stop();
    REQUIRE(removed);
    CHECK(node.process->output().find("crash_limit_reached") == std::string::npos);
    cluster.add_engine("i-good", "model", good);
    REQUIRE(wait_until([&] { return node.process->output().find("i-good") != std::string::npos; }));
    kept_connection caller(node.callers);
    caller.send("/chat/1", "after", milliseconds(4000), parts_of(0, "after"));
    CHECK(caller.read(milliseconds(4000)).status == 200);
}
