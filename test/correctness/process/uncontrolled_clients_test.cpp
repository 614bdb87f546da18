#include <doctest/doctest.h>

#include "support/process/client_crowd.h"
#include "support/process/requests.h"

// Clients that nobody controls, before the product's own node. With lowered limits it must live, stay within
// the memory of its settings and answer an ordinary request while the crowd's connections are open.

using namespace figspoke::test;

namespace {

constexpr long memory_mb = 96;
constexpr int crowd_size = 60;
constexpr int many_connections = 300;
constexpr std::size_t connections = 100;
// Beside those of callers: upstreams, mesh, store, files.
constexpr std::size_t other_descriptors = 100;
constexpr std::size_t body_limit = 4194304;
constexpr std::chrono::seconds answer_time{30};

const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

std::string post(const std::string& lines) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
           std::string(test_api_key) + "\r\n" + lines;
}

std::string chunk_of(std::size_t bytes) {
    char size[20];
    std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
    return size + std::string(bytes, 'x') + "\r\n";
}

void check_crowd(const crowd_bytes& bytes, int clients = crowd_size) {
    fleet_spec spec;
    spec.nodes = 1;
    spec.upstreams = {{"engine", {"small@1"}, {}, {}}};
    spec.more_settings = "[limits]\nmemory_mb = " + std::to_string(memory_mb) +
                         "\nconnections = " + std::to_string(connections) + "\n";
    fleet nodes(spec);
    auto& process = nodes.node_process(0);
    const client_crowd crowd(nodes.node(0), clients, bytes);
    REQUIRE_FALSE(process.exit_code().has_value());
    CHECK(wait_until(
        [&] {
            return process.exit_code().has_value() || nodes.chat(0, chat_body("hello", false)).status == 200;
        },
        answer_time));
    REQUIRE_FALSE(process.exit_code().has_value());
    CHECK(memory_kb(process.pid(), "VmHWM") <= memory_mb * 1024);
    CHECK(open_descriptors(process.pid()) <= connections + other_descriptors);
}

const std::string with_length = "Content-Length: " + std::to_string(body_limit) + "\r\n\r\n";

} // namespace

TEST_SUITE("uncontrolled clients") {
    TEST_CASE("uncontrolled clients of a node: trailers without end") {
        check_crowd({post(chunked) + "1\r\nx\r\n0\r\n", "X-More: 1\r\n", body_limit});
    }

    TEST_CASE("uncontrolled clients of a node: a chunk extension without end") {
        check_crowd({post(chunked) + "1;", "x", body_limit});
    }

    TEST_CASE("uncontrolled clients of a node: large bodies at once that stop short of their end") {
        check_crowd({post(with_length), "x", body_limit - 1});
    }

    TEST_CASE("uncontrolled clients of a node: large bodies piece by piece that stop short of their end") {
        check_crowd({post(with_length), "x", body_limit - 1, 8U * 1024});
    }

    TEST_CASE("uncontrolled clients of a node: chunked bodies in large chunks that stop short") {
        check_crowd({post(chunked), chunk_of(64U * 1024), body_limit - 70000});
    }

    TEST_CASE("uncontrolled clients of a node: chunked bodies in very small chunks that stop short") {
        check_crowd({post(chunked), "3\r\nabc\r\n1\r\na\r\n2\r\nab\r\n", 2 * body_limit});
    }

    TEST_CASE("uncontrolled clients of a node: connections that send nothing") {
        check_crowd({"", "", 0}, many_connections);
    }
}
