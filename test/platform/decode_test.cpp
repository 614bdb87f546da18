#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "platform/operator_config.h"
#include "platform/registry_entries.h"
#include "platform/store_client.h"
#include "platform/wire_headers.h"

using namespace figspoke;
using namespace figspoke::platform;

namespace {

state::document_content content_with(const std::string& key, const std::string& value) {
    state::document_content content;
    content.at.revision = 1;
    content.items.push_back({key, value, 1});
    return content;
}

const char* config = R"({"version":7,
 "routes":[
  {"name":"chat","host":"h","pathPrefix":"/c/","kind":"streaming","timeoutMs":20000,"targetLatencyMs":6000,
   "priority":2,"sizes":["small","large"],"split":[{"service":"a","weight":90},{"service":"b","weight":10}],
   "maxAttempts":3,"allowAnonymous":false,"sticky":true,"resumable":true,"targetGapMs":1000},
  {"name":"order","host":"h","pathPrefix":"/o/","kind":"unsafe","timeoutMs":800,"service":"shop"},
  {"name":"once","host":"h","pathPrefix":"/s/","kind":"streaming","resumable":false,"service":"a"},
  {"name":"look","host":"h","pathPrefix":"/l/","kind":"safe","service":"shop","allowAnonymous":true}],
 "services":[{"name":"a","maxConns":360,"engine":{"slots":64,"kvCapacityTokens":5000,
   "models":[{"name":"small","cost":0.1},{"name":"large","cost":0.5}]}},{"name":"shop","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1},{"name":"t2","apiKeys":["k3"]}]})";

relay::request_head request_with(relay::header_list headers) {
    return {"POST", "/c/x", std::move(headers), true};
}

} // namespace

TEST_CASE("an era that is missing, malformed, out of range or repeated is not taken for a number") {
    CHECK(read_stated_era({{"store-era", "3"}}).number == 3);
    CHECK(read_stated_era({{"store-era", "65535"}}).number == 65535);
    CHECK_FALSE(read_stated_era({}).number.has_value());
    CHECK_FALSE(read_stated_era({}).unusable);
    for (const auto* text :
         {"", "x", "-1", "+4", "3.0", "4x", "0x4", "65536", "99999999999999999999", "3, 4"}) {
        CAPTURE(text);
        const auto era = read_stated_era({{"store-era", text}});
        CHECK_FALSE(era.number.has_value());
        CHECK(era.unusable);
    }
}

TEST_CASE("the operator's configuration is decoded into routes, services and accounts") {
    const auto table = decode_routes(content_with("op/config", config));
    REQUIRE(table.has_value());
    CHECK(table->version == 7);
    const auto* chat = state::find_route(*table, "h", "/c/1");
    REQUIRE(chat != nullptr);
    CHECK(chat->retry == state::retry_policy::resumable);
    CHECK(chat->services.size() == 2);
    CHECK(chat->models == std::vector<std::string>{"small", "large"});
    CHECK(state::find_route(*table, "h", "/o/1")->retry == state::retry_policy::at_most_once);
    CHECK(state::find_route(*table, "h", "/s/1")->retry == state::retry_policy::at_most_once);
    CHECK(state::find_route(*table, "h", "/l/1")->retry == state::retry_policy::idempotent);
    CHECK(table->services.at("a").engine->slots == 64);
    CHECK(state::find_account(*table, "k2")->name == "t1");
    CHECK(state::find_account(*table, "k2")->rank == 1);
    CHECK_FALSE(state::find_account(*table, "k3")->rank.has_value());
    CHECK(state::find_account(*table, "k9") == nullptr);
    CHECK(table->limits.body_bytes == 1000);
}

TEST_CASE("API keys are required only if the configuration has accounts") {
    const auto table = decode_routes(content_with(
        "op/config", R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","service":"s"}]})"));
    REQUIRE(table.has_value());
    CHECK(state::find_route(*table, "h", "/x")->anonymous);
}

TEST_CASE("a configuration whose tenants are empty or malformed opens no route") {
    // Guards against a withdrawal of the last tenant that admits every request, with or without a key.
    const std::vector<std::string> forms = {"[]",     "null",     "{}",           "5",
                                            R"("t")", "[5,null]", R"([{"a":1}])", R"([{"apiKeys":"k1"}])"};
    for (const auto& tenants : forms) {
        const auto table = decode_routes(content_with("op/config", R"({"version":1,"routes":[
                {"name":"r","host":"h","pathPrefix":"/","service":"s"},
                {"name":"o","host":"h","pathPrefix":"/open/","service":"s","allowAnonymous":true}],"tenants":)" +
                                                                       tenants + "}"));
        CAPTURE(tenants);
        REQUIRE(table.has_value());
        CHECK_FALSE(state::find_route(*table, "h", "/x")->anonymous);
        CHECK(state::find_route(*table, "h", "/open/x")->anonymous);
        CHECK(state::find_account(*table, "k1") == nullptr);
    }
}

TEST_CASE("an empty API key in the configuration admits no request") {
    // Guards against requests without a key that run for a tenant whose list of keys holds an empty text.
    const auto table = decode_routes(
        content_with("op/config", R"({"version":1,"routes":[{"name":"r","host":"h","pathPrefix":"/",
            "service":"s"}],"tenants":[{"name":"t1","apiKeys":["","k1"]}]})"));
    REQUIRE(table.has_value());
    CHECK(state::find_account(*table, "") == nullptr);
    CHECK(state::find_account(*table, "k1") != nullptr);
}

TEST_CASE("a malformed or missing configuration decodes to nothing") {
    CHECK_FALSE(decode_routes(content_with("op/config", "{")).has_value());
    CHECK_FALSE(decode_routes(content_with("op/config", R"({"routes":5})")).has_value());
    CHECK_FALSE(decode_routes(content_with("op/other", config)).has_value());
}

TEST_CASE("registry entries with values out of range or nested too deeply name no engine") {
    // Guards against entries of another writer that end the process, or that get requests no engine can
    // serve.
    const auto entry_with = [](const std::string& address, const std::string& slots,
                               const std::string& more) {
        return R"({"service":"s","address":")" + address +
               R"(","zone":"z","version":"v1","state":"ready","slots":)" + slots + more + "}";
    };
    const std::string deep(200000, '[');
    const std::vector<std::string> odd = {
        entry_with("127.0.0.1:99999", "8", ""),
        entry_with("127.0.0.1:0", "8", ""),
        entry_with("127.0.0.1:-1", "8", ""),
        entry_with("127.0.0.1:80x", "8", ""),
        entry_with("localhost:80", "8", ""),
        entry_with("127.0.0.1:80", "4294967297", ""),
        entry_with("127.0.0.1:80", "2147483647", ""),
        entry_with("127.0.0.1:80", "1e300", ""),
        entry_with("127.0.0.1:80", "1e999", ""),
        entry_with("127.0.0.1:80", "123456789012345678901234567890", ""),
        entry_with("127.0.0.1:80", "2.5", ""),
        entry_with("127.0.0.1:80", "true", ""),
        entry_with("127.0.0.1:80", "8", R"(,"born":1e300)"),
        entry_with("127.0.0.1:80", "8", R"(,"models":)" + deep),
        entry_with("127.0.0.1:80", "8", R"(,"models":)" + deep + std::string(deep.size(), ']')),
        entry_with("127.0.0.1:80", "8", R"(,"note":")" + std::string(200000, 'n') + "\""),
        deep,
        R"({"service":"s","address":"127.0.0.1:80","version":"v1","state":"ready","slots":8})",
        R"({"service":"s","address":"127.0.0.1:80","zone":"z","state":"ready","slots":8})",
        R"({"service":"s","address":"127.0.0.1:80","zone":1,"version":"v1","state":"ready","slots":8})"};
    state::document_content content;
    for (std::size_t i = 0; i < odd.size(); ++i) {
        content.items.push_back({"servers/odd-" + std::to_string(i), odd.at(i), 1});
    }
    content.items.push_back({"servers/good", entry_with("127.0.0.1:80", "8", R"(,"born":17)"), 1});
    const auto entries = decode_upstreams(content);
    for (const auto& entry : entries) {
        CAPTURE(entry.id);
        CHECK(entry.id == "good");
    }
    REQUIRE(entries.size() == 1);
    CHECK(entries.front().slots == 8);
    CHECK(entries.front().incarnation == 17);
}

TEST_CASE("malformed registry entries are skipped and valid ones are kept") {
    // Forged or truncated entries must not crash a node or attract traffic.
    auto content =
        content_with("servers/good", R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",
        "slots":8,"state":"ready","born":5,"models":[{"name":"m"}]})");
    const auto add = [&](const std::string& id, const std::string& value) {
        content.items.push_back({"servers/" + id, value, 2});
    };
    add("torn", R"({"service":"s","addr)");
    add("typed", R"({"service":5,"address":"10.0.0.1:80","slots":8,"state":"ready"})");
    add("stateless", R"({"service":"s","address":"10.0.0.1:80","slots":8,"state":"odd"})");
    add("nowhere", R"({"service":"s","address":"here","slots":8,"state":"ready"})");
    add("list", "[1,2]");
    add("bytes", std::string("\xff\xfe\x00", 3));
    const auto entries = decode_upstreams(content);
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].id == "good");
    CHECK(entries[0].incarnation == 5);
    CHECK(entries[0].models == std::vector<std::string>{"m"});
}

TEST_CASE("an engine's heartbeat doesn't change the hash of the registry") {
    const auto entry = [](int sequence, const char* state) {
        return content_with(
            "servers/a",
            R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":")" +
                std::string(state) + R"(","sequence":)" + std::to_string(sequence) + "}");
    };
    CHECK(registry_hash(entry(1, "ready")) == registry_hash(entry(2, "ready")));
    CHECK(registry_hash(entry(1, "ready")) != registry_hash(entry(2, "draining")));
}

TEST_CASE("an engine's count of its writes is read, and an unusable one counts as none") {
    const auto sequence_of = [](const std::string& value) {
        const auto entries = decode_upstreams(content_with(
            "servers/a", R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,)"
                         R"("state":"ready","sequence":)" +
                             value + "}"));
        REQUIRE(entries.size() == 1);
        return entries.front().sequence;
    };
    CHECK(sequence_of("41") == 41);
    CHECK(sequence_of("-1") == 0);
    CHECK(sequence_of("1e300") == 0);
    CHECK(sequence_of("\"7\"") == 0);
}

TEST_CASE("an engine that moves to another failure domain changes the hash of the registry") {
    // Nodes copy the registry from each other only when its hash changes, so a field that the hash leaves out
    // stays as it was on all nodes but the one that reads the store.
    const auto entry = [](const char* zone) {
        return content_with(
            "servers/a",
            R"({"service":"s","address":"10.0.0.1:80","version":"v1","slots":8,"state":"ready",)" +
                (R"("zone":")" + std::string(zone) + R"("})"));
    };
    CHECK(registry_hash(entry("z1")) != registry_hash(entry("z2")));
}

TEST_CASE("a kept roll-out order has no position in the era of the document") {
    // Its revision may be higher than that of a new order of this era, which must be obeyed.
    auto content = content_with("op/rollout/s", R"({"service":"s","target":"v2","durationS":30})");
    content.at = {{2, 0}, 40};
    content.items.front().revision = 60;
    CHECK(decode_rollouts(content).front().position == state::store_position{{2, 0}, 60});
    content.items.front().kept = true;
    CHECK(decode_rollouts(content).front().position == state::store_position{});
}

TEST_CASE("no decoder throws on arbitrary bytes") {
    CHECK(rc::check([](const std::string& bytes) {
        decode_routes(content_with("op/config", bytes));
        decode_rollouts(content_with("op/rollout/s", bytes));
        decode_upstreams(content_with("servers/a", bytes));
        decode_base64(bytes);
    }));
}

TEST_CASE("base64 decoding inverts the encoding") {
    CHECK(
        rc::check([](const std::string& bytes) { RC_ASSERT(decode_base64(encode_base64(bytes)) == bytes); }));
}

TEST_CASE("headers that only the relay sets are never taken from the caller") {
    // With a forged tenant or target, a request would run on behalf of another account.
    const auto protocol = make_wire_protocol();
    relay::upstream_send send;
    send.upstream = "i-1";
    send.account = "t1";
    send.time_left = core::milliseconds(900);
    const auto headers = protocol.write_send(request_with({{"Host", "h"},
                                                           {"X-Tenant", "forged"},
                                                           {"x-target-instance", "forged"},
                                                           {"Api-Key", "k"},
                                                           {"X-Kv-Hold", "1"},
                                                           {"Kv-From", "1"},
                                                           {"X-Pin-Ms", "9"},
                                                           {"X-Kv-Backup", "1"},
                                                           {"X-Deadline-Ms", "99999"},
                                                           {"X-Request-Id", "r1"},
                                                           {"X-Model", "m"}}),
                                             send);
    const auto value = [&](const char* name) {
        const auto* found = relay::find_header(headers, name);
        return found == nullptr ? std::string() : *found;
    };
    CHECK(value("X-Tenant") == "t1");
    CHECK(value("X-Target-Instance") == "i-1");
    CHECK(value("X-Deadline-Ms") == "900");
    CHECK(value("X-Request-Id") == "r1");
    CHECK(value("X-Model") == "m");
    for (const auto* name : {"Api-Key", "X-Kv-Hold", "Kv-From", "X-Pin-Ms", "X-Kv-Backup"}) {
        CHECK(relay::find_header(headers, name) == nullptr);
    }
}

TEST_CASE("a request's headers are read and invalid values are ignored") {
    const auto protocol = make_wire_protocol();
    const auto read = protocol.read_request(request_with({{"Host", "h"},
                                                          {"X-Request-Id", "r1"},
                                                          {"X-Deadline-Ms", "1500"},
                                                          {"X-Model", "*"},
                                                          {"X-Token-Usage", "1460,80"},
                                                          {"X-Prompt-Prefix", "5c:800,91:410,e4:250"},
                                                          {"X-Output-Length-Hint", "40"},
                                                          {"Last-Event-Id", "12"},
                                                          {"Session", "s1"}}));
    CHECK(read.deadline == core::milliseconds(1500));
    CHECK(read.any_model);
    CHECK(read.prompt_tokens == 1460);
    CHECK(read.max_tokens == 80);
    CHECK(read.prompt.size() == 3);
    CHECK(read.prompt[1].tokens == 410);
    CHECK(read.last_event_id == 12);
    CHECK(read.session == "s1");
    const auto invalid =
        protocol.read_request(request_with({{"X-Deadline-Ms", "-5"}, {"Last-Event-Id", "x"}}));
    CHECK_FALSE(invalid.deadline.has_value());
    CHECK_FALSE(invalid.last_event_id.has_value());
    CHECK(invalid.request_id.empty());
}

TEST_CASE("the parts of a prompt are read from all fields that list them") {
    // Guards against a part that crashes engines and is named in a second field, where nothing looks.
    const auto protocol = make_wire_protocol();
    const auto read = protocol.read_request(
        request_with({{"X-Prompt-Prefix", "a:1,b:2"}, {"Host", "h"}, {"x-prompt-prefix", "c:3,d:4"}}));
    REQUIRE(read.prompt.size() == 4);
    CHECK(read.prompt[2].id == "c");
    CHECK(read.prompt[3].tokens == 4);
}

TEST_CASE("an answer's headers tell whether the request was refused") {
    const auto protocol = make_wire_protocol();
    relay::answer_head refused;
    refused.status = 503;
    refused.headers = {{"X-Not-Executed", "1"}, {"Keep-Alive", "timeout=4, max=9"}};
    protocol.read_answer(refused);
    CHECK(refused.not_run);
    CHECK(refused.idle_timeout == core::seconds(4));
    relay::answer_head misdirected;
    misdirected.status = 421;
    protocol.read_answer(misdirected);
    CHECK(misdirected.wrong_upstream);
}

TEST_CASE("an answer's load, cold time, leaving and quiet time are read") {
    // Unread, a leaving or resting engine goes on getting requests and a cold one crashes.
    relay::answer_head head;
    head.status = 503;
    head.headers = {{"X-Engine-Load", "3,1,8,250"},
                    {"X-Cold-Remaining-Ms", "1500"},
                    {"Server-Leaving", "1"},
                    {"Retry-After", "2.5"}};
    make_wire_protocol().read_answer(head);
    REQUIRE(head.load.has_value());
    CHECK(head.load->running == 3);
    CHECK(head.load->waiting == 1);
    CHECK(head.load->slots == 8);
    CHECK(head.load->work_factor == 2.5);
    CHECK(head.cold_for == core::milliseconds(1500));
    CHECK(head.leaving);
    CHECK(head.quiet_for == core::milliseconds(2500));
    CHECK(head.unusable_fields == 0);
}

TEST_CASE("unusable values of an answer's fields are counted and ignored") {
    // A wrong figure must neither fail the caller's request nor exclude an engine for good.
    for (const auto* load : {"", "3", "3,1", "3,1,8,9,9", "-1,0,8", "3,1,0", "3,1,8,0", "3,1,x", "1e9,0,8",
                             "99999999999999999999,0,8"}) {
        CAPTURE(load);
        relay::answer_head head;
        head.status = 200;
        head.headers = {{"X-Engine-Load", load}};
        make_wire_protocol().read_answer(head);
        CHECK_FALSE(head.load.has_value());
        CHECK(head.unusable_fields == 1);
    }
    for (const auto* time : {"", "-1", "Wed, 21 Oct 2026 07:28:00 GMT", "nan", "inf", "soon"}) {
        CAPTURE(time);
        relay::answer_head head;
        head.status = 503;
        head.headers = {{"Retry-After", time}, {"X-Cold-Remaining-Ms", time}, {"Server-Leaving", time}};
        make_wire_protocol().read_answer(head);
        CHECK_FALSE(head.quiet_for.has_value());
        CHECK_FALSE(head.cold_for.has_value());
        CHECK_FALSE(head.leaving);
        CHECK(head.unusable_fields == 3);
    }
    relay::answer_head repeated;
    repeated.status = 200;
    repeated.headers = {{"X-Engine-Load", "1,0,8"}, {"X-Engine-Load", "2,0,8"}};
    make_wire_protocol().read_answer(repeated);
    CHECK_FALSE(repeated.load.has_value());
    CHECK(repeated.unusable_fields == 1);
    relay::answer_head huge;
    huge.status = 503;
    huge.headers = {{"Retry-After", "1e12"}, {"X-Cold-Remaining-Ms", "999999999999"}};
    make_wire_protocol().read_answer(huge);
    CHECK(huge.quiet_for == core::milliseconds(60000));
    CHECK(huge.cold_for == core::milliseconds(60000));
}

TEST_CASE("evacuation orders name failure domains and cold services state their rate") {
    state::document_content content;
    content.items = {
        {"op/evacuate/z1", "{}", 4},
        {"op/evacuate/", "{}", 4},
        {"op/config",
         R"({"version":7,"tenants":[],"routes":[{"host":"h","targetGapMs":1200,"allowedRegions":["r1"]}],
             "services":[{"name":"s","coldStartS":3.5,"coldPerS":6.7,
                          "engine":{"slots":4,"models":[{"name":"m","cost":0.25},{"name":"n","cost":-1}]}}]})",
         5}};
    CHECK(decode_evacuations(content) == std::set<std::string>{"z1"});
    const auto table = decode_routes(content);
    REQUIRE(table.has_value());
    const auto& service = table->services.at("s");
    CHECK(service.cold_start == core::milliseconds(3500));
    CHECK(service.cold_per_second == 6.7);
    CHECK(service.model_costs == std::map<std::string, double>{{"m", 0.25}});
    const auto& route = table->hosts.at("h").front();
    CHECK(route.target_gap == core::milliseconds(1200));
    CHECK(route.regions == std::vector<std::string>{"r1"});
}
