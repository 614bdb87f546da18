#include <chrono>
#include <mutex>
#include <thread>

#include <doctest/doctest.h>

#include "platform/support/relay_cluster.h"

using namespace figspoke::test;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

// An engine that names a limit as long as it is in need, and records when requests arrive.
class limited_engine {
  public:
    limited_engine()
        : engine_([this](engine_connection& connection, const engine_request& request) {
              {
                  const std::lock_guard lock(mutex_);
                  arrivals_.push_back(steady_clock::now());
              }
              connection.answer(request, 200, "ok", in_need_ ? "Server-Limit: 2.0\r\n" : "");
          }) {}

    const engine_stand_in& stand_in() const { return engine_; }
    void set_in_need(bool value) { in_need_ = value; }

    // Returns the largest number of arrivals within 4 s from a time on.
    std::size_t most_in_window(steady_clock::time_point from) const {
        const std::lock_guard lock(mutex_);
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < arrivals_.size(); ++last) {
            while (arrivals_[first] < from || arrivals_[last] - arrivals_[first] > std::chrono::seconds(4)) {
                if (++first > last) {
                    break;
                }
            }
            most = std::max(most, last + 1 - std::min(first, last + 1));
        }
        return most;
    }

    std::size_t arrivals() const {
        const std::lock_guard lock(mutex_);
        return arrivals_.size();
    }

  private:
    mutable std::mutex mutex_;
    std::vector<steady_clock::time_point> arrivals_;
    std::atomic<bool> in_need_{true};
    engine_stand_in engine_;
};

} // namespace

TEST_CASE("an engine that names a limit gets no more from all nodes and everything once it names none") {
    // Guards against an engine in need that gets more requests than it takes (LIMIT).
    relay_cluster cluster;
    cluster.configure(1, {"k1"});
    limited_engine limited;
    engine_stand_in other([](engine_connection& connection, const engine_request& request) {
        connection.answer(request, 200, "ok");
    });
    cluster.add_engine("i-limited", "shop", limited.stand_in());
    cluster.add_engine("i-other", "shop", other);
    auto& first = cluster.start_node();
    auto& second = cluster.start_node();
    const auto send_both = [&](int i) {
        for (auto* node : {&first, &second}) {
            CHECK(cluster.send(*node, "/look/1", node->ip + std::to_string(i)).status == 200);
        }
    };
    const auto began = steady_clock::now();
    for (int i = 0; steady_clock::now() - began < std::chrono::seconds(9); ++i) {
        send_both(i);
        std::this_thread::sleep_for(milliseconds(30));
    }
    const std::size_t allowed = 1.5 * 2.0 * 4 + 5;
    CHECK(limited.most_in_window(began + milliseconds(1000)) <= allowed);
    CHECK(limited.arrivals() >= 8U);
    limited.set_in_need(false);
    CHECK(wait_until([&] {
        const auto before = limited.arrivals();
        for (int i = 0; i < 20; ++i) {
            send_both(100000 + int(before) * 20 + i);
        }
        return limited.arrivals() - before >= 8;
    }));
}
