// The operator withdraws the last client account. The node takes a configuration with an empty list of
// tenants for one without tenants and serves every request, with any key or none.
#include "kit.h"

using namespace kit;

namespace {

constexpr int deadline_ms = 4000;
constexpr int revoke_ms = 5000;
constexpr int requests_after = 20;

std::mutex runs_mutex;
std::map<std::string, std::string> runs;

void serve(engine&, stream& link, const request& asked) {
    {
        const std::lock_guard lock(runs_mutex);
        runs[asked.field("x-request-id")] = asked.field("x-tenant");
    }
    sleep_ms(15);
    link.send(engine::whole(asked, 200, "order placed"));
}

int order(const node& to, const std::string& id, const std::string& key) {
    client connection;
    if (!connection.connect(to.callers())) {
        return 0;
    }
    connection.send("POST", "/order/1", request_fields(id, key, deadline_ms), "two bales");
    return connection.read(deadline_ms + 1000).status;
}

bool has_run(const std::string& id) {
    const std::lock_guard lock(runs_mutex);
    return runs.count(id) > 0;
}

} // namespace

int main(int argc, char** argv) {
    begin(argc, argv);
    store platform("127.0.0.1");
    engine first(platform, "i-desk-1", "desk", 6, serve);
    engine second(platform, "i-desk-2", "desk", 6, serve);
    const std::vector<route> routes = {{"order", "unsafe", "desk", deadline_ms, 300, 1, false}};
    platform.put("op/config",
                 make_config(4, routes, {{{"name", "tenant-1"}, {"apiKeys", {"key-1"}}}}).dump());
    auto one = make_node(1, platform);
    auto two = make_node(2, platform);
    for (auto* each : {one.get(), two.get()}) {
        each->start();
    }
    for (auto* each : {one.get(), two.get()}) {
        each->wait_ready();
    }
    sleep_ms(1000);
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        served += order(i % 2 == 0 ? *one : *two, "before-" + std::to_string(i), "key-1") == 200 ? 1 : 0;
    }
    const int unknown_before = order(*one, "before-unknown", "no-such-key");
    note("before: %d of 10 orders with the account's key served; an unknown key is answered %d", served,
         unknown_before);
    if (served == 0 || unknown_before != 401) {
        give_up("the nodes do not serve the first configuration");
    }

    // Without the disruption the configuration changes too, and the account stays.
    json tenants = json::array();
    if (!trouble()) {
        tenants = {{{"name", "tenant-1"}, {"apiKeys", {"key-2"}}}};
    }
    platform.put("op/config", make_config(9, routes, tenants).dump());
    note("acknowledged: version 9, %s", trouble() ? "without any account" : "key-1 is replaced by key-2");
    sleep_ms(revoke_ms + 1500);

    int revoked_runs = 0;
    int unknown_runs = 0;
    for (int i = 0; i < requests_after; ++i) {
        const auto& to = i % 2 == 0 ? *one : *two;
        const auto revoked = "revoked-" + std::to_string(i);
        const auto unknown = "unknown-" + std::to_string(i);
        const int revoked_status = order(to, revoked, "key-1");
        const int unknown_status = order(to, unknown, "never-a-key");
        revoked_runs += has_run(revoked) ? 1 : 0;
        unknown_runs += has_run(unknown) ? 1 : 0;
        note("%s: %d%s; %s: %d%s", revoked.c_str(), revoked_status, has_run(revoked) ? ", run" : "",
             unknown.c_str(), unknown_status, has_run(unknown) ? ", run" : "");
    }
    note("later than revokeMs after the ack: run with the key that was taken away: %d of %d; run with a key "
         "that no "
         "configuration ever held: %d of %d",
         revoked_runs, requests_after, unknown_runs, requests_after);
    leave(revoked_runs + unknown_runs > 0 ? rule_broken : rule_held);
}
