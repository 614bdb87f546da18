#include <doctest/doctest.h>

#include "support/process/requests.h"

using namespace figspoke::test;
using nlohmann::json;

namespace {

constexpr const char* chat_path = "/v1/chat/completions";

fleet_spec one_node() {
    fleet_spec spec;
    spec.nodes = 1;
    spec.upstreams = {{"engine", {"small@1"}, {}, {}}, {"shop", {}, {"parts_order", "stock"}, {}}};
    spec.more_settings = "[limits]\nbody_bytes = 65536\nrequest_timeout_ms = 500\n";
    return spec;
}

// Parses the error of a raw answer.
json error_of(const std::string& raw) {
    const auto body = raw.find("\r\n\r\n");
    const json parsed = json::parse(body == std::string::npos ? "" : raw.substr(body + 4), nullptr, false);
    return parsed.is_object() ? parsed.value("error", json::object()) : json::object();
}

void check_refused(const std::string& raw, const std::string& kind) {
    const json error = error_of(raw);
    CHECK_MESSAGE(error.value("kind", "") == kind, raw);
    CHECK(error.value("execution", "") == "not_run");
}

} // namespace

TEST_CASE("malformed input of every sort gets its error as not run and the node keeps serving") {
    // Guards against a parser that ends the process, hangs a connection or lets a bad request through.
    fleet nodes(one_node());
    const std::string good = chat_body("hello", false).dump();
    const auto exchange = [&](const std::string& request) {
        const raw_connection link(nodes.node(0));
        link.send(request);
        return link.read_to_end(std::chrono::seconds(5));
    };
    const std::string close = "Connection: close\r\n";
    for (const std::string body :
         {"{", "[]", "\"text\"", R"({"messages":[]})", R"({"messages":[{"role":1}]})",
          R"({"messages":[{"role":"user","content":"x"}],"max_tokens":0})", "\xff\xfe"}) {
        check_refused(exchange(raw_post(chat_path, body, close)), "bad_request");
    }
    check_refused(exchange(raw_post(chat_path, std::string(200000, 'x'), close)), "payload_too_large");
    check_refused(
        exchange("POST " + std::string(chat_path) + " HTTP/1.1\r\nX-Long: " + std::string(40000, 'a')),
        "payload_too_large");
    check_refused(exchange("POST " + std::string(chat_path) + " HTTP/1.1\r\nX-Slow: "), "request_timeout");
    check_refused(exchange("nonsense\r\n\r\n"), "bad_request");
    check_refused(exchange(raw_post("/v1/nothing", good, close)), "not_found");
    check_refused(exchange(raw_post("/v1/orders/parts_order", "{}", close)), "bad_request");
    check_refused(exchange(raw_post("/v1/orders/stock", "{}", close + "Idempotency-Key: k\r\n")),
                  "bad_request");
    check_refused(exchange(raw_post("/v1/services/parts_order", "{}", close)), "bad_request");
    check_refused(exchange(raw_post("/v1/services/none", "{}", close)), "not_found");
    const std::vector<std::string> bad_headers = {"X-Figspoke-Priority: soon",
                                                  "X-Figspoke-Quality: 1.5",
                                                  "X-Figspoke-Quality: nan",
                                                  "X-Figspoke-Deadline-Ms: -1",
                                                  "X-Figspoke-Deadline-Ms: 9999999999",
                                                  "X-Figspoke-Conversation: forged",
                                                  "X-Figspoke-Task: a\x01z",
                                                  "Idempotency-Key: " + std::string(300, 'k')};
    for (const auto& header : bad_headers) {
        check_refused(exchange(raw_post(chat_path, good, close + header + "\r\n")), "bad_request");
    }
    const auto stranger = http_post(nodes.node(0), chat_path, good, {{"authorization", "Bearer stranger"}});
    CHECK(kind_of(stranger) == "unauthorized");
    CHECK(execution_of(stranger) == "not_run");
    CHECK(kind_of(http_post(nodes.node(0), chat_path, good)) == "unauthorized");
    CHECK(nodes.executions().empty());
    const auto served = nodes.chat(0, chat_body("hello", false));
    CHECK_MESSAGE(served.status == 200, served.body);
}
