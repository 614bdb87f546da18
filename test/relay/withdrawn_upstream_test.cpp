#include <exception>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <doctest/doctest.h>

#include "platform/support/engine_stand_in.h"
#include "relay/boot_clock.h"
#include "relay/relay_state.h"
#include "relay/send_attempt.h"

using namespace figspoke;
using namespace figspoke::relay;
using figspoke::test::engine_connection;
using figspoke::test::engine_request;
using figspoke::test::engine_stand_in;

namespace {

constexpr core::milliseconds patience{2000};

struct sender {
    sender()
        : engine([](engine_connection& connection, const engine_request& request) {
              connection.answer(request, 200, "done");
          }),
          node(context, {}, protocol(), {}) {
        plan.upstream.id = "u";
        plan.upstream.service = "s";
        plan.upstream.address = engine.address();
        plan.upstream.incarnation = 7;
        plan.head = &head;
        plan.body = std::make_shared<const std::string>("b");
        plan.connect.request_id = "r1";
        plan.headers = {{"X-Request-Id", "r1"}};
        plan.read_timeout = patience;
        plan.connect.connect_timeout = patience;
        node.registry.upstreams["u"] = {plan.upstream, false};
        node.settings.bounds.drain = core::milliseconds(2000);
    }

    static wire_protocol protocol() {
        wire_protocol result;
        result.read_answer = [](answer_head& answer) { answer.request_id = "r1"; };
        return result;
    }

    // Sends the request that was planned before; returns the failure, if any.
    std::optional<attempt_failure> send() {
        std::optional<attempt_failure> failure;
        boost::asio::spawn(
            context,
            [&](const boost::asio::yield_context& yield) {
                upstream_link_ptr current;
                auto answer = send_and_read_head(
                    node, plan, current, [] {}, yield);
                if (!answer) {
                    failure = answer.error();
                }
                current->close();
            },
            [](const std::exception_ptr& thrown) { CHECK_FALSE(thrown); });
        context.run();
        return failure;
    }

    void check_withdrawn() {
        const auto failure = send();
        REQUIRE(failure);
        CHECK(failure->result == policy::send_result::not_sent);
        CHECK(failure->cause == link_failure::withdrawn);
        CHECK(engine.requests().empty());
    }

    boost::asio::io_context context;
    engine_stand_in engine;
    relay_state node;
    request_head head{"POST", "/order/1", {}, true};
    attempt_plan plan;
};

} // namespace

TEST_CASE("a request is sent to an upstream that has stayed as it was while the connection was made") {
    sender sends;
    CHECK_FALSE(sends.send());
    CHECK(sends.engine.requests().size() == 1);
}

TEST_CASE("a request isn't sent to an upstream that drains since it was chosen") {
    sender sends;
    sends.node.registry.upstreams.at("u").entry.draining = true;
    sends.check_withdrawn();
}

TEST_CASE("a request isn't sent to an upstream that has left since it was chosen") {
    sender sends;
    sends.node.registry.upstreams.clear();
    sends.check_withdrawn();
}

TEST_CASE("a request isn't sent to an upstream that has restarted since it was chosen") {
    sender sends;
    sends.node.registry.upstreams.at("u").entry.incarnation = 8;
    sends.check_withdrawn();
}

TEST_CASE("a request isn't sent to an upstream that has long said that it is leaving") {
    sender sends;
    policy::record_leaving(sends.node.notices, "u", 7, boot_now() - core::milliseconds(1500));
    sends.check_withdrawn();
}

TEST_CASE("a request isn't sent to an upstream whose failure domain was evacuated since it was chosen") {
    sender sends;
    sends.node.registry.upstreams.at("u").entry.failure_domain = "d";
    sends.node.evacuated = {"d"};
    sends.check_withdrawn();
}
