#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/strand.hpp>
#include <doctest/doctest.h>

#include "adapters/http_server.h"
#include "platform/store_client.h"

using namespace figspoke;
using platform::store_client;
using relay::store_failure;
using yield_context = boost::asio::yield_context;

namespace {

adapters::http_headers era(const std::string& number) {
    return {{"store-era", number}};
}

adapters::http_reply range_at(int revision, adapters::http_headers headers, const std::string& more = "") {
    return {200, std::move(headers), R"({"items":[],"at":)" + std::to_string(revision) + more + "}"};
}

adapters::http_reply item_at(int revision) {
    return {200, {}, R"({"key":"k","value":"eA==","at":50,"revision":)" + std::to_string(revision) + "}"};
}

adapters::http_reply written_at(int revision, adapters::http_headers headers = {}) {
    return {200, std::move(headers), R"({"revision":)" + std::to_string(revision) + "}"};
}

// A store that gives prepared answers, and its client, on one thread.
struct prepared_store {
    std::deque<adapters::http_reply> replies;
    // Called before each answer.
    std::function<void()> on_call = [] {};
    int calls = 0;
    int returns = 0;
    std::shared_ptr<relay::store_view> view = std::make_shared<relay::store_view>();

    void run(const std::function<void(store_client&, const yield_context&)>& test) {
        view->on_return = [this](const state::store_position&) { ++returns; };
        boost::asio::io_context context;
        adapters::http_server server(
            context, "127.0.0.1:0",
            [this](adapters::http_exchange& exchange) {
                ++calls;
                on_call();
                auto reply = replies.empty() ? adapters::http_reply{500, {}, {}} : replies.front();
                if (!replies.empty()) {
                    replies.pop_front();
                }
                exchange.send(reply);
            },
            [](int status, std::string_view) {
                return adapters::http_reply{status, {}, {}};
            });
        store_client client(context, "127.0.0.1:" + std::to_string(server.port()), view);
        boost::asio::spawn(
            boost::asio::make_strand(context),
            [&](const yield_context& yield) {
                test(client, yield);
                context.stop();
            },
            [](const std::exception_ptr& thrown) {
                if (thrown) {
                    std::rethrow_exception(thrown);
                }
            });
        context.run();
    }
};

} // namespace

TEST_CASE("a range read names the era that the store states, or that a lower revision shows") {
    prepared_store store;
    store.replies = {range_at(40, era("2")), range_at(30, era("3")), range_at(20, {})};
    store.run([&](store_client& client, const yield_context& yield) {
        CHECK(client.read_range("p/", yield)->at == state::store_position{{2, 0}, 40});
        CHECK(store.returns == 0);
        CHECK(client.read_range("p/", yield)->at == state::store_position{{3, 0}, 30});
        CHECK(store.returns == 1);
        CHECK(client.read_range("p/", yield)->at == state::store_position{{3, 1}, 20});
        CHECK(store.returns == 2);
    });
}

TEST_CASE("a late answer of an earlier era fails its call instead of bringing back an old content") {
    prepared_store store;
    store.replies = {range_at(40, era("2")), range_at(90, era("1"))};
    store.run([&](store_client& client, const yield_context& yield) {
        REQUIRE(client.read_range("p/", yield));
        const auto late = client.read_range("p/", yield);
        REQUIRE_FALSE(late);
        CHECK(late.error().why == store_failure::unavailable);
        CHECK(store.view->outdated_answers == 1);
        CHECK(store.view->known == state::store_position{{2, 0}, 40});
    });
}

TEST_CASE("a refusal tells of the store's return") {
    prepared_store store;
    store.replies = {range_at(40, era("2")), {429, era("3"), {}}};
    store.run([&](store_client& client, const yield_context& yield) {
        REQUIRE(client.read_range("p/", yield));
        CHECK_FALSE(client.read_range("p/", yield));
        CHECK(store.returns == 1);
        CHECK(store.view->known.era == state::store_era{3, 0});
    });
}

TEST_CASE("a repeated or malformed era is counted and doesn't fail the call") {
    prepared_store store;
    store.replies = {range_at(40, era("2")), range_at(41, era("x"))};
    store.run([&](store_client& client, const yield_context& yield) {
        REQUIRE(client.read_range("p/", yield));
        CHECK(client.read_range("p/", yield)->at == state::store_position{{2, 0}, 41});
        CHECK(store.view->unusable_eras == 1);
    });
}

TEST_CASE("pages of different eras aren't taken for one content") {
    prepared_store store;
    const std::string item = R"({"key":"p/a","value":"eA==","revision":3})";
    store.replies = {{200, era("2"), R"({"items":[)" + item + R"(],"at":40,"hasMore":true})"},
                     range_at(30, era("3"))};
    store.run([&](store_client& client, const yield_context& yield) {
        CHECK_FALSE(client.read_range("p/", yield));
        CHECK(store.returns == 1);
    });
}

TEST_CASE("the revision of an item that was read isn't taken for the store's own") {
    prepared_store store;
    store.replies = {range_at(50, {}), item_at(7)};
    store.run([&](store_client& client, const yield_context& yield) {
        REQUIRE(client.read_range("p/", yield));
        const auto item = client.read_key("k", yield);
        REQUIRE(item);
        CHECK((*item)->revision == state::store_position{{0, 0}, 7});
        CHECK(store.returns == 0);
    });
}

TEST_CASE("a write whose condition was read before the store's return isn't sent") {
    // The revision may have been given out again for another content.
    prepared_store store;
    store.replies = {item_at(7), range_at(30, {})};
    store.run([&](store_client& client, const yield_context& yield) {
        const auto item = client.read_key("k", yield);
        REQUIRE(item);
        REQUIRE(client.read_range("p/", yield));
        const auto calls = store.calls;
        const auto written = client.write({{"k", "v", (*item)->revision, false}}, yield);
        REQUIRE_FALSE(written);
        CHECK(written.error().why == store_failure::conflict);
        CHECK(store.calls == calls);
    });
}

TEST_CASE("a conditional write that was under way over the store's return has an unknown outcome") {
    prepared_store store;
    store.replies = {item_at(7), written_at(31, era("1"))};
    store.run([&](store_client& client, const yield_context& yield) {
        const auto item = client.read_key("k", yield);
        const auto written = client.write({{"k", "v", (*item)->revision, false}}, yield);
        REQUIRE_FALSE(written);
        CHECK(written.error().why == store_failure::outcome_unknown);
    });
}

TEST_CASE("a write that was answered in an earlier era than a peer has told of has an unknown outcome") {
    prepared_store store;
    store.replies = {range_at(50, {}), written_at(51)};
    store.run([&](store_client& client, const yield_context& yield) {
        REQUIRE(client.read_range("p/", yield));
        store.on_call = [&] { relay::record_position(*store.view, {{0, 1}, 20}); };
        const auto written = client.write({{"k", "v", {}, true}}, yield);
        REQUIRE_FALSE(written);
        CHECK(written.error().why == store_failure::outcome_unknown);
    });
}
