#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/websocket.hpp>
#include <doctest/doctest.h>

#include "adapters/mesh.h"
#include "adapters/mesh_auth.h"
#include "adapters/mesh_codec.h"

using namespace figspoke;
using namespace figspoke::adapters;
using namespace std::chrono_literals;
namespace websocket = boost::beast::websocket;
using boost::asio::ip::tcp;

namespace {

// A bound for a broken build only; what is waited for happens within milliseconds.
constexpr auto patience = 20s;

struct node {
    std::unique_ptr<mesh> links;
    std::vector<mesh_delivery> received;
    std::set<std::string> peers;

    mesh_peer peer(const std::string& id) const { return {id, "127.0.0.1:" + std::to_string(links->port())}; }
};

struct fleet {
    boost::asio::io_context context;
    std::vector<std::unique_ptr<node>> nodes;

    ~fleet() {
        for (auto& item : nodes) {
            item->links->stop();
        }
        context.restart();
        context.run_for(1s);
    }

    node& add(const std::string& id, const std::string& secret = "secret", mesh_limits limits = {}) {
        nodes.push_back(std::make_unique<node>());
        node& made = *nodes.back();
        mesh_builder builder;
        builder.node_id(id).listen_address("127.0.0.1:0").secret(secret).limits(limits);
        builder.on_message([&made](mesh_delivery delivery) { made.received.push_back(std::move(delivery)); });
        builder.on_link([&made](const mesh_link_event& event) {
            event.up ? void(made.peers.insert(event.peer)) : void(made.peers.erase(event.peer));
        });
        builder.on_request([](const mesh_request& request, const mesh_reply& reply) {
            if (request.method == "echo") {
                reply(request.from + "/" + request.body);
            } else if (request.method == "refuse") {
                reply(tl::make_unexpected("not today"));
            }
        });
        made.links = builder.build(context);
        return made;
    }

    bool run_until(const std::function<bool()>& done) {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!done() && std::chrono::steady_clock::now() < end) {
            context.restart();
            context.run_one_for(20ms);
        }
        return done();
    }

    mesh_result call(node& from, const mesh_peer& to, const std::string& method, const std::string& body,
                     core::milliseconds timeout = 5s) {
        std::optional<mesh_result> result;
        from.links->call(to, method, body, timeout, [&](mesh_result value) { result = std::move(value); });
        REQUIRE(run_until([&] { return result.has_value(); }));
        return *result;
    }
};

// A peer that speaks WebSocket and proves the secret, and then sends what it likes.
struct raw_peer {
    websocket::stream<tcp::socket> stream;
    link_identity identity;

    raw_peer(fleet& all, const mesh_peer& to) : stream(all.context) {
        const auto port =
            static_cast<unsigned short>(std::stoi(to.address.substr(to.address.rfind(':') + 1)));
        bool open = false;
        stream.next_layer().connect({boost::asio::ip::make_address("127.0.0.1"), port});
        stream.async_handshake("mesh", "/mesh", [&](const auto& code) { open = !code; });
        REQUIRE(all.run_until([&] { return open; }));
        stream.binary(true);
        identity = {"raw", to.id, make_nonce(), {}};
    }

    mesh_envelope read(fleet& all) {
        boost::beast::flat_buffer buffer;
        bool done = false;
        stream.async_read(buffer, [&](const auto& code, std::size_t) { done = !code; });
        REQUIRE(all.run_until([&] { return done; }));
        return *decode_message(boost::beast::buffers_to_string(buffer.data()));
    }

    void write(const std::string& bytes) {
        boost::system::error_code code;
        stream.write(boost::asio::buffer(bytes), code);
    }

    void authenticate(fleet& all) {
        identity.acceptor_nonce = std::get<hello_message>(read(all).message).nonce;
        write(encode_message("raw", hello_message{identity.dialler_nonce, true}));
        write(encode_message("raw", proof_message{make_proof("secret", link_role::dialler, identity)}));
        CHECK(std::get<proof_message>(read(all).message).hmac ==
              make_proof("secret", link_role::acceptor, identity));
    }

    // Reads and drops what comes until the connection ends.
    bool is_closed(fleet& all) {
        boost::beast::flat_buffer buffer;
        bool ended = false;
        const std::function<void()> read_on = [&] {
            stream.async_read(buffer,
                              [&](const auto& code, std::size_t) { code ? void(ended = true) : read_on(); });
        };
        read_on();
        return all.run_until([&] { return ended; });
    }
};

} // namespace

TEST_CASE("three meshes link, broadcast and call each other") {
    // Guards against lost messages, wrong senders, and two dials of one pair that close each other.
    fleet all;
    auto& a = all.add("a");
    auto& b = all.add("b");
    auto& c = all.add("c");
    a.links->set_links({b.peer("b"), c.peer("c")});
    b.links->set_links({a.peer("a"), c.peer("c")});
    c.links->set_links({a.peer("a"), b.peer("b")});
    REQUIRE(all.run_until([&] { return a.peers.size() + b.peers.size() + c.peers.size() == 6; }));
    a.links->broadcast(table_message{7, "rows"});
    REQUIRE(all.run_until([&] { return !b.received.empty() && !c.received.empty(); }));
    CHECK(b.received.front().from == "a");
    CHECK(std::get<table_message>(c.received.front().message).text == "rows");
    CHECK(all.call(b, c.peer("c"), "echo", "x").value() == "b/x");
    CHECK(all.call(b, c.peer("c"), "refuse", "x").error().message == "not today");
}

TEST_CASE("a call opens a link on demand, and one that gets no reply times out") {
    // Guards against callers that wait for ever, and against reporting a sent request as not sent.
    fleet all;
    mesh_limits limits;
    limits.idle = 100ms;
    auto& a = all.add("a", "secret", limits);
    auto& b = all.add("b", "secret", limits);
    CHECK(all.call(a, b.peer("b"), "echo", "x").value() == "a/x");
    CHECK(all.call(a, b.peer("b"), "silent", "x", 200ms).error().why == mesh_failure::cause::timed_out);
    CHECK(all.run_until([&] { return a.peers.empty() && b.peers.empty(); }));
    CHECK(all.call(a, {"z", "127.0.0.1:1"}, "echo", "x").error().why == mesh_failure::cause::not_sent);
    CHECK(all.call(a, b.peer("other"), "echo", "x").error().why == mesh_failure::cause::not_sent);
}

TEST_CASE("a node with another secret gets no link") {
    // Guards against messages from outside the fleet.
    fleet all;
    auto& a = all.add("a");
    auto& b = all.add("b", "wrong");
    b.links->set_links({a.peer("a")});
    REQUIRE(all.run_until([&] { return a.links->counters().refused >= 2; }));
    CHECK(a.peers.empty());
    CHECK(b.peers.empty());
    CHECK(all.call(b, a.peer("a"), "echo", "x").error().why == mesh_failure::cause::not_sent);
}

TEST_CASE("a message before authentication closes the link and is dropped") {
    fleet all;
    auto& a = all.add("a");
    raw_peer stranger(all, a.peer("a"));
    stranger.write(encode_message("raw", table_message{99, "rows"}));
    CHECK(stranger.is_closed(all));
    CHECK(a.received.empty());
    CHECK(a.links->counters().refused == 1);
}

TEST_CASE("malformed and oversized messages close only the link that carried them") {
    // Guards against one broken peer that cuts a node off, exhausts its stack or its memory.
    fleet all;
    auto& a = all.add("a");
    auto& b = all.add("b");
    a.links->set_links({b.peer("b")});
    REQUIRE(all.run_until([&] { return a.peers.count("b") == 1 && b.peers.count("a") == 1; }));
    const std::vector<std::string> bad = {
        std::string("\xa1\x61"),
        std::string(1000000, '\x81'),
        std::string(3000000, 'x'),
        encode_message("raw", digest_message{{1, false, false, 0, {}, 0, 0, 0, {}, "\xff"}}).substr(0, 20),
    };
    std::uint64_t malformed = 0;
    for (const auto& bytes : bad) {
        raw_peer peer(all, a.peer("a"));
        peer.authenticate(all);
        REQUIRE(all.run_until([&] { return a.peers.count("raw") == 1; }));
        peer.write(bytes);
        CHECK(peer.is_closed(all));
        REQUIRE(all.run_until([&] { return a.peers.count("raw") == 0; }));
        CHECK(a.links->counters().malformed == ++malformed);
        CHECK(a.peers.count("b") == 1);
    }
    CHECK(all.call(a, b.peer("b"), "echo", "x").value() == "a/x");
}

TEST_CASE("a peer that doesn't read is disconnected") {
    // Guards against a send queue that grows with a stopped peer.
    fleet all;
    auto& a = all.add("a");
    raw_peer peer(all, a.peer("a"));
    peer.authenticate(all);
    REQUIRE(all.run_until([&] { return a.peers.count("raw") == 1; }));
    const std::string megabyte(1000000, 'x');
    for (int i = 0; i < 40; ++i) {
        a.links->send("raw", table_message{1, megabyte});
    }
    REQUIRE(all.run_until([&] { return a.peers.empty(); }));
    CHECK(a.links->counters().slow == 1);
}
