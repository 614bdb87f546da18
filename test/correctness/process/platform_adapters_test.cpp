#include <csignal>

#include <doctest/doctest.h>

#include "adapters/http_server.h"
#include "adapters/rating_service.h"
#include "adapters/upstream_reports.h"
#include "adapters/vm_list.h"
#include "adapters/weight_store.h"
#include "support/process/http.h"
#include "support/process/process.h"
#include "support/process/standin.h"

using namespace figspoke;
using namespace figspoke::test;
using adapters::http_client;
using boost::asio::yield_context;

namespace {

constexpr std::chrono::milliseconds call_timeout{20000};

/// Runs a coroutine with a client to its end.
void with_client(const std::function<void(http_client&, const yield_context&)>& body) {
    boost::asio::io_context context;
    http_client client(context);
    boost::asio::spawn(
        context, [&](const yield_context& yield) { body(client, yield); },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
}

/// Runs a coroutine against a server that answers every request with the body.
void with_fixed_answer(
    const std::string& answer,
    const std::function<void(http_client&, const std::string&, const yield_context&)>& body) {
    boost::asio::io_context context;
    http_client client(context);
    adapters::http_server server(
        context, "127.0.0.1:0",
        [&](adapters::http_exchange& exchange) {
            exchange.send({200, {{"Connection", "close"}}, answer});
        },
        [](int status, std::string_view) {
            return adapters::http_reply{status, {}, {}};
        });
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    boost::asio::spawn(
        context,
        [&](const yield_context& yield) {
            body(client, address, yield);
            context.stop();
        },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
}

template <class T>
void check_rejected(const adapters::platform_result<T>& result, const std::string& field) {
    REQUIRE_FALSE(result.has_value());
    CHECK_MESSAGE(result.error().message.find(field) != std::string::npos, result.error().message);
}

} // namespace

// Guards against adapters that misread what the platform sends.
TEST_CASE("the platform's adapters read VMs, loads and ratings") {
    running_standin platform("platform", {"--loads_per_minute=1", "--load_duration_ms=7"});
    set_control(
        platform.address,
        {{"vms",
          {{{"id", "n"}, {"address", "127.0.0.1:1"}, {"failure_domain", "a"}, {"state", "leaving"}}}}});
    with_client([&](http_client& client, const yield_context& yield) {
        const auto vms = adapters::make_vm_list(client, platform.address, call_timeout).read(yield);
        REQUIRE(vms.has_value());
        REQUIRE(vms->size() == 1);
        CHECK(vms->front().failure_domain == "a");
        CHECK(vms->front().leaving);
        const auto store = adapters::make_weight_store(client, platform.address, call_timeout);
        CHECK(store.request_load("m@1", "e 1", yield)->duration == std::chrono::milliseconds(7));
        const auto refused = store.request_load("m@1", "e 1", yield);
        CHECK_FALSE(refused->granted);
        CHECK(refused->retry_after > std::chrono::milliseconds(0));
        const auto ratings = adapters::make_rating_service(client, platform.address, call_timeout);
        CHECK(ratings.submit({"r1", "m@1", "t", "w0 \xc3"}, yield).has_value());
        CHECK(ratings.submit({"r2", "m@1", "t", "wrong0"}, yield).has_value());
        const auto page = ratings.read(1, yield);
        REQUIRE(page->ratings.size() == 1);
        CHECK(page->next == 2);
        CHECK(page->ratings.front().request_id == "r2");
        CHECK_FALSE(page->ratings.front().passed);
    });
    CHECK(get_counts(platform.address).at("loads").at(0).at("upstream") == "e 1");
}

// Guards against load that is attributed to the wrong time, and cache events that are read twice.
TEST_CASE("the upstream adapter reads load reports and cache events") {
    running_standin engine("upstream", {"--versions=m@1", "--load_lag_ms=0", "--slots=3"});
    const std::string prompt(2000, 'p');
    const nlohmann::json body = {{"model", "m@1"}, {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    CHECK(http_post(engine.address, "/v1/chat/completions", body.dump()).status == 200);
    with_client([&](http_client& client, const yield_context& yield) {
        const auto reports = adapters::make_upstream_reports(client, call_timeout);
        const auto load = reports.read_load(engine.address, yield);
        REQUIRE(load.has_value());
        CHECK(load->slots == 3);
        CHECK(load->versions == std::vector<std::string>{"m@1"});
        CHECK(load->cached_tokens == 1024 / 4);
        const auto page = reports.read_events(engine.address, 0, yield);
        CHECK(page->events.size() == 3);
        CHECK(page->events.front().cached);
        CHECK(reports.read_events(engine.address, page->next, yield)->events.empty());
    });
}

// Guards against malformed answers that end the process or are taken for valid ones.
TEST_CASE("a malformed answer is a failure that names the field") {
    const auto load = [](const std::string& answer, const std::string& field) {
        with_fixed_answer(answer, [&](http_client& client, const std::string& address,
                                      const yield_context& yield) {
            check_rejected(adapters::make_upstream_reports(client, call_timeout).read_load(address, yield),
                           field);
        });
    };
    load("not JSON", "JSON object");
    load("[]", "JSON object");
    load("{}", "\"running\"");
    load(R"({"running":-1})", "\"running\"");
    load(R"({"running":1e300})", "\"running\"");
    load(R"({"running":1,"waiting":0,"slots":1,"versions":[1]})", "\"versions\"");
    const auto vms = [](const std::string& answer, const std::string& field) {
        with_fixed_answer(
            answer, [&](http_client& client, const std::string& address, const yield_context& yield) {
                check_rejected(adapters::make_vm_list(client, address, call_timeout).read(yield), field);
            });
    };
    vms(R"({"vms":{}})", "\"vms\"");
    vms(R"({"vms":[3]})", "JSON object");
    vms(R"({"vms":[{"state":"gone"}]})", "\"state\"");
    with_fixed_answer(R"({"next":1,"ratings":[{"seq":1}]})",
                      [&](http_client& client, const std::string& address, const yield_context& yield) {
                          const auto ratings = adapters::make_rating_service(client, address, call_timeout);
                          check_rejected(ratings.read(0, yield), "\"request_id\"");
                          check_rejected(ratings.submit({}, yield), "status 200");
                      });
}

// Guards against a load that is requested twice because a lost answer was taken for a refusal.
TEST_CASE("a call whose answer is lost says that it may have run") {
    running_standin platform("platform");
    set_control(platform.address, {{"drop_replies", 1}});
    with_client([&](http_client& client, const yield_context& yield) {
        const auto store = adapters::make_weight_store(client, platform.address, call_timeout);
        const auto lost = store.request_load("m@1", "e", yield);
        REQUIRE_FALSE(lost.has_value());
        CHECK(lost.error().may_have_run);
        platform.process.send_signal(SIGKILL);
        platform.process.wait_for_exit();
        const auto refused = store.request_load("m@1", "e", yield);
        REQUIRE_FALSE(refused.has_value());
        CHECK_FALSE(refused.error().may_have_run);
    });
}
