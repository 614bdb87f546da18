#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "platform/support/relay_cluster.h"

using namespace figspoke;
using namespace figspoke::test;
using core::milliseconds;

namespace {

using clock = std::chrono::steady_clock;

constexpr milliseconds revocation{5000};
// A configuration is in force two seconds after its acceptance, and a return may take two more.
constexpr milliseconds configuration_bound{4000};
// Time after a return within which engines have written again, and that within which one that leaves gets its
// last request.
constexpr milliseconds engines_write{2000};
constexpr milliseconds drain_bound{2000};
constexpr milliseconds time_away{1000};
constexpr milliseconds probe_interval{40};
// Answers without it differ by so little work that a busy machine makes one version seem slower.
constexpr milliseconds work_time{20};
constexpr milliseconds observed_reads{4000};
// The part of three nodes where 380 share 2,000 reads a second.
constexpr int most_reads_per_second = 2000 * 3 / 380;
// Revisions that are given out between the copy and the return, or after the return, by engines that check
// in.
constexpr int check_ins = 30;

struct stated_era {
    static constexpr bool stated = true;
};
struct unstated_era {
    static constexpr bool stated = false;
};

/// One request of a prober.
struct probe {
    std::string node;
    std::string id;
    core::steady_time sent_at;
    int status = 0;
};

/// Sends one request after the other to one node until it is stopped.
class prober {
  public:
    prober(relay_cluster& cluster, const relay_process& node, const std::string& path, const std::string& key)
        : thread_([this, &cluster, &node, path, key] { run(cluster, node, path, key); }) {}
    ~prober() { stop(); }
    prober(const prober&) = delete;
    prober& operator=(const prober&) = delete;

    void stop() {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    std::vector<probe> probes() const {
        const std::lock_guard lock(mutex_);
        return probes_;
    }

  private:
    void run(relay_cluster& cluster, const relay_process& node, const std::string& path,
             const std::string& key) {
        static std::atomic<int> next{0};
        while (!stopping_) {
            probe sent{node.ip, "p" + std::to_string(++next) + "-" + key, clock::now(), 0};
            sent.status = cluster.send(node, path, sent.id, "b", key).status;
            {
                const std::lock_guard lock(mutex_);
                probes_.push_back(sent);
            }
            std::this_thread::sleep_for(probe_interval);
        }
    }

    mutable std::mutex mutex_;
    std::vector<probe> probes_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

/// Probers of all nodes with the same request.
class probers {
  public:
    probers(relay_cluster& cluster, const std::vector<relay_process*>& nodes, const std::string& path,
            const std::string& key = "k1") {
        for (const auto* node : nodes) {
            all_.push_back(std::make_unique<prober>(cluster, *node, path, key));
        }
    }

    /// Returns what was sent since `from`. Stops the probers.
    std::vector<probe> collect(core::steady_time from) {
        std::vector<probe> collected;
        for (const auto& one : all_) {
            one->stop();
            for (auto& sent : one->probes()) {
                if (sent.sent_at > from) {
                    collected.push_back(std::move(sent));
                }
            }
        }
        return collected;
    }

    /// Waits until the newest answer of each node has this status; returns whether that came in time.
    bool wait_for(int status, core::steady_time until) {
        const auto holds = [&] {
            for (const auto& one : all_) {
                const auto sent = one->probes();
                if (sent.empty() || sent.back().status != status) {
                    return false;
                }
            }
            return true;
        };
        return wait_until(holds, core::to_ms(until - clock::now()));
    }

  private:
    std::vector<std::unique_ptr<prober>> all_;
};

engine_stand_in::handler answer_with(const std::string& body, int status = 200) {
    return [body, status](engine_connection& connection, const engine_request& request) {
        std::this_thread::sleep_for(work_time);
        connection.answer(request, status, body);
    };
}

std::set<std::string> ids_at(const engine_stand_in& engine) {
    std::set<std::string> ids;
    for (const auto& request : engine.requests()) {
        ids.insert(request.headers.at("x-request-id"));
    }
    return ids;
}

/// Three nodes, each with its own address of the store, and one engine that serves both services.
struct returning_store {
    explicit returning_store(bool states_era) : engine(answer_with("first")) {
        if (states_era) {
            cluster.store().state_era(1);
        }
        cluster.set_revocation(revocation);
        write_engine();
    }

    void start() {
        for (int i = 0; i < 3; ++i) {
            doors.push_back(i == 0 ? cluster.store().address() : cluster.store().add_address());
            nodes.push_back(&cluster.launch_node(doors.back()));
        }
        for (auto* node : nodes) {
            REQUIRE_MESSAGE(wait_until([&] { return cluster.is_ready(*node); }), node->process->errors());
            REQUIRE(wait_until([&] { return cluster.look_up(*node).size() == nodes.size(); }));
        }
    }

    void write_engine() {
        cluster.add_engine("i-shop", "shop", engine);
        cluster.add_engine("i-model", "model", engine);
    }

    void configure(const cluster_configuration& configuration) {
        current = configuration;
        cluster.configure(configuration);
    }

    /// Writes a configuration and waits until all nodes serve a route that it adds.
    void configure_everywhere(cluster_configuration configuration) {
        const auto route = "mark" + std::to_string(configuration.version);
        configuration.more_routes.push_back(route);
        configure(configuration);
        REQUIRE(served_everywhere("/" + route + "/1", clock::now() + configuration_bound));
    }

    bool served_everywhere(const std::string& path, core::steady_time until) {
        probers sent(cluster, nodes, path);
        return sent.wait_for(200, until);
    }

    void check_in() {
        for (int i = 0; i < check_ins; ++i) {
            write_engine();
        }
    }

    /// The store is away and comes back from a copy, in which nobody has written yet.
    void return_from(const store_copy& copy) {
        cluster.store().turn_all_away(store_refusal::status_503);
        std::this_thread::sleep_for(time_away);
        cluster.store().return_from(copy);
        cluster.store().turn_all_away(store_refusal::none);
    }

    /// The same, and the operator and the engine have written again.
    void return_and_rewrite(const store_copy& copy) {
        cluster.store().turn_all_away(store_refusal::status_503);
        std::this_thread::sleep_for(time_away);
        cluster.store().return_from(copy);
        write_engine();
        cluster.configure(current);
        cluster.store().turn_all_away(store_refusal::none);
    }

    /// Checks that no request of the probers that was sent later than `limit` has run.
    void check_none_ran(const std::vector<probe>& sent, core::steady_time limit) const {
        const auto ran = ids_at(engine);
        for (const auto& one : sent) {
            if (one.sent_at > limit && ran.count(one.id) > 0) {
                FAIL_CHECK("node " << one.node << " ran " << one.id << ", sent "
                                   << core::to_ms(one.sent_at - limit).count() << " ms too late\n"
                                   << document_log());
                return;
            }
        }
    }

    /// Withdraws a key by the next version and checks that all nodes follow in time.
    void check_withdrawal(const std::string& key) {
        probers sent(cluster, nodes, "/look/1", key);
        auto next = current;
        ++next.version;
        next.keys.erase(std::remove(next.keys.begin(), next.keys.end(), key), next.keys.end());
        configure(next);
        const auto acknowledged = clock::now();
        CHECK_MESSAGE(sent.wait_for(401, acknowledged + revocation), document_log());
        // One that has followed may also go back.
        std::this_thread::sleep_until(acknowledged + revocation + milliseconds(300));
        check_none_ran(sent.collect(acknowledged), acknowledged + revocation);
    }

    /// What the nodes logged of the documents that they adopted or turned down.
    std::string document_log() const {
        std::string text;
        for (const auto* node : nodes) {
            std::istringstream lines(node->process->output());
            for (std::string line; std::getline(lines, line);) {
                const auto has = [&](const char* event) { return line.find(event) != std::string::npos; };
                if (has("\"document_") || has("\"configuration_") || has("\"registry_changed") ||
                    has("\"store_") || has("\"rollout_") || has("\"version_stopped")) {
                    text += node->ip + ' ' + line + '\n';
                }
            }
        }
        return text;
    }

    relay_cluster cluster;
    engine_stand_in engine;
    std::vector<std::string> doors;
    std::vector<relay_process*> nodes;
    cluster_configuration current;
};

int count_of(const std::vector<probe>& sent, int status) {
    return int(
        std::count_if(sent.begin(), sent.end(), [&](const probe& one) { return one.status == status; }));
}

} // namespace

TYPE_TO_STRING(stated_era);
TYPE_TO_STRING(unstated_era);

TEST_CASE_TEMPLATE("a key that is withdrawn right after a return of the store admits nothing after its bound",
                   era, stated_era, unstated_era) {
    returning_store world(era::stated);
    world.configure({3, {"k1", "k2"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.check_in();
    world.configure_everywhere({4, {"k1", "k2"}, {}});
    const auto before = world.cluster.store().revision();
    world.return_and_rewrite(copy);
    world.check_withdrawal("k2");
    CHECK(world.cluster.store().revision() < before);
}

TEST_CASE_TEMPLATE(
    "a key that is withdrawn at the revision of an earlier write admits nothing after its bound", era,
    stated_era, unstated_era) {
    // The withdrawal follows the return at once, so that no node has read the copy, and the revisions of its
    // write and of the newest one before the return are equal.
    returning_store world(era::stated);
    world.configure({3, {"k1", "k2"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.configure_everywhere({4, {"k1", "k2"}, {}});
    auto& store = world.cluster.store();
    store.turn_all_away(store_refusal::status_503);
    std::this_thread::sleep_for(time_away);
    store.return_from(copy);
    store.turn_all_away(store_refusal::none);
    world.check_withdrawal("k2");
}

TEST_CASE_TEMPLATE("a withdrawn key and a dropped route stay so while the store has only an older copy", era,
                   stated_era, unstated_era) {
    returning_store world(era::stated);
    world.configure({3, {"k1", "k2"}, {"dropped"}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.configure_everywhere({4, {"k1"}, {"added"}});
    probers withdrawn(world.cluster, world.nodes, "/look/1", "k2");
    probers dropped(world.cluster, world.nodes, "/dropped/1");
    probers added(world.cluster, world.nodes, "/added/1");
    REQUIRE(withdrawn.wait_for(401, clock::now() + revocation));
    REQUIRE(dropped.wait_for(404, clock::now() + configuration_bound));
    REQUIRE(added.wait_for(200, clock::now() + configuration_bound));
    const auto followed = clock::now();
    world.return_from(copy);
    // Revisions pass the one of the newest configuration.
    world.check_in();
    std::this_thread::sleep_for(engines_write);
    world.cluster.configure(world.current);
    CHECK_MESSAGE(added.wait_for(200, clock::now() + configuration_bound), world.document_log());
    world.check_none_ran(withdrawn.collect(followed), followed);
    world.check_none_ran(dropped.collect(followed), followed);
    const auto on_added = added.collect(followed);
    CHECK(count_of(on_added, 404) == 0);
    CHECK(count_of(on_added, 401) == 0);
}

TEST_CASE_TEMPLATE("a route that is added after a return of the store is served by all nodes in time", era,
                   stated_era, unstated_era) {
    returning_store world(era::stated);
    world.configure({3, {"k1"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.check_in();
    world.configure_everywhere({4, {"k1"}, {}});
    const auto before = world.cluster.store().revision();
    world.return_and_rewrite(copy);
    world.configure({5, {"k1"}, {"added"}});
    const auto acknowledged = clock::now();
    CHECK_MESSAGE(world.served_everywhere("/added/1", acknowledged + configuration_bound),
                  world.document_log());
    CHECK(world.cluster.store().revision() < before);
}

TEST_CASE_TEMPLATE(
    "an engine that had left and is ready in the store's copy gets no request before it writes", era,
    stated_era, unstated_era) {
    returning_store world(era::stated);
    engine_stand_in leaving(answer_with("second"));
    world.configure({3, {"k1"}, {}});
    world.cluster.add_engine("i-leaving", "shop", leaving);
    world.start();
    probers traffic(world.cluster, world.nodes, "/open/1", "");
    REQUIRE(wait_until([&] { return leaving.requests().size() > 5; }));
    const auto copy = world.cluster.store().take_copy();
    world.cluster.add_engine("i-leaving", "shop", leaving, "draining");
    std::this_thread::sleep_for(drain_bound);
    const auto at_drain = leaving.requests().size();
    world.cluster.store().remove("servers/i-leaving");
    std::this_thread::sleep_for(drain_bound);
    CHECK(leaving.requests().size() == at_drain);
    world.return_from(copy);
    world.cluster.configure(world.current);
    world.check_in();
    std::this_thread::sleep_for(engines_write + configuration_bound);
    CHECK(leaving.requests().size() == at_drain);
    world.cluster.add_engine("i-leaving", "shop", leaving.address(), "ready", "v1", 2000);
    CHECK(wait_until([&] { return leaving.requests().size() > at_drain; }, configuration_bound));
}

TEST_CASE_TEMPLATE("an engine that the store's copy lacks is used until it writes again", era, stated_era,
                   unstated_era) {
    returning_store world(era::stated);
    world.configure({3, {"k1"}, {}});
    world.cluster.store().remove("servers/i-shop");
    world.start();
    const auto copy = world.cluster.store().take_copy();
    const auto write_engine = [&] { world.cluster.add_engine("i-late", "shop", world.engine); };
    write_engine();
    probers traffic(world.cluster, world.nodes, "/open/1", "");
    REQUIRE(traffic.wait_for(200, clock::now() + configuration_bound));
    const auto began = clock::now();
    world.return_from(copy);
    world.cluster.configure(world.current);
    for (int i = 0; i < check_ins; ++i) {
        world.cluster.add_engine("i-model", "model", world.engine);
    }
    std::this_thread::sleep_for(engines_write - milliseconds(200));
    write_engine();
    std::this_thread::sleep_for(configuration_bound);
    const auto sent = traffic.collect(began);
    CHECK(count_of(sent, 200) == int(sent.size()));
}

TEST_CASE_TEMPLATE("an engine that the store's copy lacks and that doesn't write again is taken as gone", era,
                   stated_era, unstated_era) {
    returning_store world(era::stated);
    engine_stand_in gone(answer_with("second"));
    world.configure({3, {"k1"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.cluster.add_engine("i-gone", "shop", gone);
    probers traffic(world.cluster, world.nodes, "/open/1", "");
    REQUIRE(wait_until([&] { return gone.requests().size() > 5; }));
    world.check_in();
    std::this_thread::sleep_for(drain_bound);
    world.return_from(copy);
    world.cluster.configure(world.current);
    world.write_engine();
    std::this_thread::sleep_for(engines_write + drain_bound);
    const auto after_bound = gone.requests().size();
    std::this_thread::sleep_for(drain_bound);
    CHECK(gone.requests().size() == after_bound);
}

TEST_CASE_TEMPLATE("nodes don't read without pause from a store that came back from a copy", era, stated_era,
                   unstated_era) {
    // A store that allows a number of reads a second answers the rest with 429, and serves no node any more.
    returning_store world(era::stated);
    world.configure({3, {"k1"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.check_in();
    world.configure_everywhere({4, {"k1"}, {}});
    world.return_and_rewrite(copy);
    const auto calls = world.cluster.store().calls();
    std::this_thread::sleep_for(observed_reads);
    CHECK(world.cluster.store().calls() - calls <
          int(most_reads_per_second * core::to_seconds(observed_reads)));
}

TEST_CASE_TEMPLATE("keys stay withdrawn over two returns of the store in a row", era, stated_era,
                   unstated_era) {
    returning_store world(era::stated);
    world.configure({3, {"k1", "k2", "k3"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.check_in();
    world.configure_everywhere({4, {"k1", "k2", "k3"}, {}});
    world.return_and_rewrite(copy);
    probers sent(world.cluster, world.nodes, "/look/1", "k2");
    world.configure({5, {"k1", "k3"}, {}});
    const auto acknowledged = clock::now();
    std::this_thread::sleep_for(time_away);
    world.return_and_rewrite(copy);
    world.check_withdrawal("k3");
    CHECK_MESSAGE(sent.wait_for(401, clock::now()), world.document_log());
    world.check_none_ran(sent.collect(acknowledged), acknowledged + revocation);
}

namespace {

// Kills and restarts one node while the store has only a copy in which the key k2 is valid.
void check_restart_on_copy(bool states_era, std::size_t index) {
    returning_store world(states_era);
    world.configure({3, {"k1", "k2"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.configure_everywhere({4, {"k1"}, {}});
    probers sent(world.cluster, world.nodes, "/look/1", "k2");
    REQUIRE(sent.wait_for(401, clock::now() + revocation));
    const auto followed = clock::now();
    auto& restarted = *world.nodes.at(index);
    restarted.process->send_signal(SIGKILL);
    restarted.process->wait_for_exit();
    world.return_from(copy);
    world.cluster.relaunch(restarted);
    CHECK(wait_until([&] { return world.cluster.is_ready(restarted); }));
    world.check_in();
    std::this_thread::sleep_for(engines_write);
    world.cluster.configure(world.current);
    CHECK_MESSAGE(world.served_everywhere("/mark4/1", clock::now() + configuration_bound),
                  world.document_log());
    world.check_none_ran(sent.collect(followed), followed);
}

} // namespace

TEST_CASE_TEMPLATE("a node that starts while the store has only an older copy admits no withdrawn key", era,
                   stated_era, unstated_era) {
    check_restart_on_copy(era::stated, 2);
}

TEST_CASE_TEMPLATE("a node without a live seed that starts on an older copy admits no withdrawn key", era,
                   stated_era, unstated_era) {
    // Nodes have the address of the first one as their only seed.
    check_restart_on_copy(era::stated, 0);
}

TEST_CASE_TEMPLATE("a key withdrawn after a return admits nothing at nodes that are turned away or frozen",
                   era, stated_era, unstated_era) {
    constexpr milliseconds frozen{6000};
    returning_store world(era::stated);
    world.configure({3, {"k1", "k2"}, {}});
    world.start();
    const auto copy = world.cluster.store().take_copy();
    world.check_in();
    world.configure_everywhere({4, {"k1", "k2"}, {}});
    world.cluster.store().turn_away(world.doors.at(1), store_refusal::status_429);
    auto& process = *world.nodes.at(2)->process;
    process.send_signal(SIGSTOP);
    const auto thaw_at = clock::now() + frozen;
    std::thread thaw([&] {
        std::this_thread::sleep_until(thaw_at);
        process.send_signal(SIGCONT);
    });
    world.return_and_rewrite(copy);
    probers sent(world.cluster, world.nodes, "/look/1", "k2");
    world.configure({5, {"k1"}, {}});
    const auto acknowledged = clock::now();
    thaw.join();
    std::this_thread::sleep_for(configuration_bound);
    CHECK_MESSAGE(sent.wait_for(401, clock::now() + milliseconds(500)), world.document_log());
    world.check_none_ran(sent.collect(acknowledged), acknowledged + revocation);
}

TEST_CASE("no value of the era header hides a withdrawn key from the nodes or ends one") {
    const std::vector<std::vector<std::string>> values = {
        {"2"}, {}, {"two"}, {"-3"}, {"123456789012345678901234567890"}, {"7", "8"}, {""}, {"65536"}};
    returning_store world(true);
    std::vector<std::string> keys{"k1"};
    for (std::size_t i = 0; i < values.size(); ++i) {
        keys.push_back("k" + std::to_string(i + 2));
    }
    world.configure({3, keys, {}});
    world.start();
    for (const auto& value : values) {
        CAPTURE(value.empty() ? "missing" : value.front());
        const auto copy = world.cluster.store().take_copy();
        world.check_in();
        auto next = world.current;
        ++next.version;
        world.configure_everywhere(next);
        world.cluster.store().set_era_headers(value);
        world.return_and_rewrite(copy);
        world.check_withdrawal(world.current.keys.back());
        for (auto* node : world.nodes) {
            CHECK_FALSE(node->process->exit_code().has_value());
        }
    }
}

TEST_CASE("a lower era than the known one admits no withdrawn key, and the next right one is followed") {
    // A store's era never falls, so nodes may take such an answer for a late one.
    returning_store world(true);
    world.cluster.store().state_era(5);
    world.configure({3, {"k1", "k2", "k3"}, {}});
    world.start();
    world.configure_everywhere({4, {"k1", "k2", "k3"}, {}});
    world.cluster.store().set_era_headers({"4"});
    probers sent(world.cluster, world.nodes, "/look/1", "k2");
    world.configure({5, {"k1", "k3"}, {}});
    const auto acknowledged = clock::now();
    std::this_thread::sleep_for(revocation + time_away);
    world.check_none_ran(sent.collect(acknowledged), acknowledged + revocation);
    for (auto* node : world.nodes) {
        CHECK_FALSE(node->process->exit_code().has_value());
    }
    world.cluster.store().set_era_headers({"6"});
    world.check_withdrawal("k3");
}

namespace {

constexpr const char* rollout_key = "op/rollout/shop";
constexpr const char* status_key = "status/rollout/shop";
constexpr milliseconds rollout_time{10000};

/// A roll-out of `v2` before a store that returns from a copy without the order.
struct returning_rollout : returning_store {
    explicit returning_rollout(bool states_era, int status_of_new)
        : returning_store(states_era), updated(answer_with("second", status_of_new)) {
        configure({3, {"k1"}, {}});
        write_updated();
        start();
        copy = cluster.store().take_copy();
        check_in();
        for (int i = 0; i < 3; ++i) {
            traffic.push_back(std::make_unique<probers>(cluster, nodes, "/look/1"));
        }
        order("v2");
    }

    void write_updated() { cluster.add_engine("i-new", "shop", updated.address(), "ready", "v2"); }

    void order(const std::string& target) {
        const nlohmann::json order = {
            {"service", "shop"}, {"target", target}, {"durationS", rollout_time.count() / 1000.0}};
        cluster.store().put(rollout_key, order.dump());
    }

    bool has_status(const std::string& state, const std::string& target) {
        const auto status = cluster.store().get(status_key);
        return status.find(state) != std::string::npos && status.find(target) != std::string::npos;
    }

    void return_with_order() {
        cluster.store().turn_all_away(store_refusal::status_503);
        std::this_thread::sleep_for(time_away);
        cluster.store().return_from(copy);
        write_engine();
        write_updated();
        cluster.configure(current);
        order("v2");
        cluster.store().turn_all_away(store_refusal::none);
    }

    engine_stand_in updated;
    store_copy copy;
    std::vector<std::unique_ptr<probers>> traffic;
};

} // namespace

TEST_CASE_TEMPLATE("a completed roll-out whose order is written again after a return doesn't begin again",
                   era, stated_era, unstated_era) {
    returning_rollout world(era::stated, 200);
    REQUIRE_MESSAGE(wait_until([&] { return world.has_status("completed", "v2"); }, rollout_time * 4),
                    world.document_log());
    std::this_thread::sleep_for(time_away);
    const auto on_old = world.engine.requests().size();
    world.return_with_order();
    const auto acknowledged = clock::now();
    bool begun = false;
    CHECK(wait_until(
        [&] {
            begun = begun || world.has_status("in_progress", "v2");
            return world.has_status("completed", "v2");
        },
        configuration_bound));
    std::this_thread::sleep_until(acknowledged + configuration_bound);
    CHECK_FALSE(begun);
    CHECK(world.has_status("completed", "v2"));
    CHECK(world.engine.requests().size() == on_old);
}

TEST_CASE_TEMPLATE("a reverted version gets no request after a return at which its order is written again",
                   era, stated_era, unstated_era) {
    returning_rollout world(era::stated, 500);
    REQUIRE_MESSAGE(wait_until([&] { return world.has_status("reverted", "v2"); }, rollout_time * 4),
                    world.document_log());
    std::this_thread::sleep_for(time_away);
    const auto on_new = world.updated.requests().size();
    world.return_with_order();
    const auto acknowledged = clock::now();
    CHECK(wait_until([&] { return world.has_status("reverted", "v2"); }, configuration_bound));
    std::this_thread::sleep_until(acknowledged + configuration_bound);
    CHECK(world.updated.requests().size() == on_new);
}

TEST_CASE_TEMPLATE("an order for a roll-out that has a lower revision after a return is obeyed", era,
                   stated_era, unstated_era) {
    returning_rollout world(era::stated, 500);
    REQUIRE_MESSAGE(wait_until([&] { return world.has_status("reverted", "v2"); }, rollout_time * 4),
                    world.document_log());
    const auto before = world.cluster.store().revision();
    world.return_with_order();
    engine_stand_in third(answer_with("third"));
    world.cluster.add_engine("i-third", "shop", third.address(), "ready", "v3");
    world.order("v3");
    CHECK(world.cluster.store().revision() < before);
    CHECK_MESSAGE(wait_until([&] { return world.has_status("in_progress", "v3"); }, configuration_bound),
                  world.cluster.store().get(status_key), world.document_log());
    CHECK(wait_until([&] { return !third.requests().empty(); }, configuration_bound));
}
