#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <doctest/doctest.h>

#include "adapters/http_client.h"
#include "platform/support/relay_cluster.h"

using namespace figspoke;
using namespace figspoke::test;
using std::chrono::milliseconds;

namespace {

/// An engine that refuses each request once. On a connection on which it has refused something it sends its
/// last refusal once more before it answers, and then runs the request.
class engine_that_repeats_refusals {
  public:
    void serve(engine_connection& connection, const engine_request& request) {
        const auto& id = request.headers.at("x-request-id");
        const std::lock_guard lock(mutex_);
        if (refused_.insert(id).second) {
            last_refusal_[&connection] = request;
            refuse(connection, request);
            return;
        }
        if (const auto found = last_refusal_.find(&connection); found != last_refusal_.end()) {
            refuse(connection, found->second);
        }
        ++runs_[id];
        connection.answer(request, 200, "ran " + id);
    }

    std::map<std::string, int> runs() const {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

  private:
    static void refuse(engine_connection& connection, const engine_request& request) {
        connection.answer(request, 503, "", "X-Not-Executed: 1\r\n");
    }

    mutable std::mutex mutex_;
    std::set<std::string> refused_;
    std::map<engine_connection*, engine_request> last_refusal_;
    std::map<std::string, int> runs_;
};

} // namespace

TEST_CASE("an order runs once although its refusal comes a second time") {
    // Guards against a late copy of a refusal that is taken for the answer to a second send of the same
    // order: the order was sent a third time, or its caller was told that it had not run.
    engine_that_repeats_refusals orders;
    engine_stand_in engine([&](engine_connection& connection, const engine_request& request) {
        orders.serve(connection, request);
    });
    relay_cluster cluster;
    cluster.configure(1, {"k1"}, 3);
    cluster.add_engine("i-shop", "shop", engine);
    auto& node = cluster.start_node();
    for (int i = 0; i < 12; ++i) {
        const auto id = "r" + std::to_string(i);
        const auto answer = cluster.send(node, "/order/1", id);
        CAPTURE(id);
        CHECK(answer.status == 200);
        CHECK(answer.body == "ran " + id);
        CHECK(orders.runs()[id] == 1);
    }
}

TEST_CASE("an earlier refusal on a kept connection is not taken for the answer to another request") {
    // Guards against callers that are told to try again although an engine runs their request, and against a
    // second run at another engine.
    std::atomic<int> runs{0};
    const auto serve = [&](engine_connection& connection, const engine_request& request) {
        engine_request earlier = request;
        earlier.headers["x-request-id"] = "earlier";
        connection.answer(earlier, 503, "", "X-Not-Executed: 1\r\n");
        ++runs;
        connection.answer(request, 200, "ran");
    };
    std::atomic<bool> faulty{false};
    const auto serve_or_answer = [&](engine_connection& connection, const engine_request& request) {
        if (faulty) {
            serve(connection, request);
            return;
        }
        connection.answer(request, 200, "sound");
    };
    engine_stand_in first(serve_or_answer);
    engine_stand_in second(serve_or_answer);
    relay_cluster cluster;
    cluster.configure(1, {"k1"}, 3);
    cluster.add_engine("i-shop-1", "shop", first);
    cluster.add_engine("i-shop-2", "shop", second);
    auto& node = cluster.start_node();
    for (int i = 0; i < 8; ++i) {
        CHECK(cluster.send(node, "/order/1", "warm-" + std::to_string(i)).status == 200);
    }
    faulty = true;
    int answered = 0;
    for (int i = 0; i < 8; ++i) {
        const auto answer = cluster.send(node, "/order/1", "r" + std::to_string(i));
        // 502 promises nothing; a node may give up a connection on which a foreign answer came first.
        CHECK((answer.status == 200 || answer.status == 502));
        answered += answer.status == 200 ? 1 : 0;
        CHECK(runs == i + 1);
    }
    CHECK(answered > 0);
}

TEST_CASE("the client of the product's own node refuses an answer that names another request") {
    // Guards against a late answer on a reused connection that reaches the caller of another request.
    std::atomic<int> served{0};
    engine_stand_in engine([&](engine_connection& connection, const engine_request& request) {
        if (++served == 2) {
            engine_request earlier = request;
            earlier.headers["x-request-id"] = "a";
            connection.answer(earlier, 200, "answer of a");
        }
        connection.answer(request, 200, "answer of " + request.headers.at("x-request-id"));
    });
    boost::asio::io_context context;
    adapters::http_client client(context);
    boost::asio::spawn(
        boost::asio::make_strand(context),
        [&](const boost::asio::yield_context& yield) {
            adapters::http_call call;
            call.address = engine.address();
            call.headers["x-request-id"] = "a";
            const auto first = client.fetch(call, yield);
            REQUIRE(first.has_value());
            CHECK(first->body == "answer of a");
            call.headers["x-request-id"] = "b";
            const auto second = client.fetch(call, yield);
            REQUIRE_FALSE(second.has_value());
            CHECK(second.error().malformed);
            CHECK(second.error().progress == adapters::call_progress::sent);
            const auto third = client.fetch(call, yield);
            REQUIRE(third.has_value());
            CHECK(third->body == "answer of b");
        },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
}
