#include <doctest/doctest.h>

#include "platform/support/relay_cluster.h"

using namespace figspoke::test;

namespace {

std::string entry_with(const std::string& address, const std::string& slots, const std::string& more) {
    return R"({"service":"shop","address":")" + address +
           R"(","zone":"z","version":"v1","state":"ready","sequence":1,"born":1000,"slots":)" + slots + more +
           "}";
}

} // namespace

TEST_CASE("a node goes on serving and follows the registry beside odd entries of another writer") {
    // Guards against an entry that ends every process that reads the list, or after which they no longer
    // follow it: nested deeply, with a number too large, or with a port out of range.
    engine_stand_in first([](engine_connection& connection, const engine_request& request) {
        connection.answer(request, 200, "1");
    });
    engine_stand_in second([](engine_connection& connection, const engine_request& request) {
        connection.answer(request, 200, "2");
    });
    relay_cluster cluster;
    cluster.configure(1, {"k1"});
    cluster.add_engine("i-first", "shop", first);
    auto& node = cluster.start_node();
    const std::size_t levels = 400000;
    const std::vector<std::string> odd = {
        entry_with("127.0.0.1:99999", "8", ""),
        entry_with("127.0.0.1:0", "8", ""),
        entry_with("127.0.0.1:80", "4294967297", ""),
        entry_with("127.0.0.1:80", "1e999", ""),
        entry_with("127.0.0.1:80", "8",
                   R"(,"models":)" + std::string(levels, '[') + std::string(levels, ']')),
        std::string(levels, '['),
        "\xff\xfe"};
    for (std::size_t i = 0; i < odd.size(); ++i) {
        cluster.store().put("servers/odd-" + std::to_string(i), odd.at(i));
    }
    cluster.store().remove("servers/i-first");
    cluster.add_engine("i-second", "shop", second);
    int sent = 0;
    CHECK(
        wait_until([&] { return cluster.send(node, "/look/1", "w" + std::to_string(++sent)).body == "2"; }));
    for (int i = 0; i < 40; ++i) {
        CHECK(cluster.send(node, "/order/1", "o" + std::to_string(i)).status == 200);
    }
    CHECK_FALSE(node.process->exit_code().has_value());
    // A node that starts reads the odd entries first of all.
    auto& later = cluster.start_node();
    CHECK(cluster.send(later, "/order/1", "later").body == "2");
}
