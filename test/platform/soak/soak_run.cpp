#include "platform/soak/soak_run.h"

#include <csignal>
#include <filesystem>
#include <memory>

#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "platform/soak/loopback_proxy.h"
#include "platform/soak/soak_caller.h"
#include "platform/soak/soak_engine.h"
#include "platform/support/relay_cluster.h"

namespace figspoke::soak {
namespace {

namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
using core::milliseconds;

// From the settings of the stand-in world: a node that is told to stop ends within its grace time. The margin
// is for a machine with other work.
constexpr milliseconds grace_time{6000};
constexpr milliseconds grace_margin{1500};
// Time within which everything serves again after the last fault.
constexpr milliseconds recovery_time{12000};
constexpr milliseconds calm_time{3000};
// Requests that were under way when the faults end and in the last moments.
constexpr milliseconds settle_time{4000};
// The registry drops the entry of an engine that crashed after three of its check-ins.
constexpr milliseconds entry_lifetime{3600};
// An engine that drains serves on for this long.
constexpr milliseconds drain_time{3500};
constexpr milliseconds watch_interval{100};
constexpr int lost_answers = 2;
constexpr milliseconds revocation_time{3000};
// An order whose engine refuses it is sent again.
constexpr int order_attempts = 3;

using loopback_proxy_ptr = std::shared_ptr<loopback_proxy>;

// A fault of a link, for as long as it lives. Shares the link, since an engine that crashes meanwhile comes
// back behind another one.
class link_disturbance {
  public:
    link_disturbance(loopback_proxy_ptr link, link_fault fault) : link_(std::move(link)) {
        link_->set_fault(fault);
    }
    ~link_disturbance() { link_->set_fault(link_fault::none); }
    link_disturbance(const link_disturbance&) = delete;
    link_disturbance& operator=(const link_disturbance&) = delete;

  private:
    loopback_proxy_ptr link_;
};

struct node_slot {
    test::relay_process* process = nullptr;
    loopback_proxy_ptr store_link;
    /// Faults that hold the process stopped.
    int pauses = 0;
    /// A signal was sent that ends it.
    bool ending = false;
    bool killed = false;
};

struct engine_slot {
    std::string service;
    std::unique_ptr<soak_engine> engine;
    loopback_proxy_ptr link;
    std::string id;
    bool leaving = false;
};

class soak_world {
  public:
    explicit soak_world(const soak_settings& settings)
        : settings_(settings),
          callers_{context_, ledger_, {}, {"k1", "k2", "k3"}, std::mt19937(settings.plan.seed), 1, false,
                   false,    {},      0} {
        configure();
        for (std::size_t i = 0; i < settings.engines * 2; ++i) {
            engines_.push_back({i % 2 == 0 ? "shop" : "model", nullptr, nullptr, {}, false});
            start_engine(engines_.back());
        }
        for (std::size_t i = 0; i < settings.nodes; ++i) {
            node_slot node;
            node.store_link = std::make_shared<loopback_proxy>(context_, world_.store().address());
            node.process = &world_.launch_node(node.store_link->address());
            callers_.directories.push_back(node.process->directory);
            nodes_.push_back(std::move(node));
        }
    }

    soak_report run() {
        adapters::spawn_coroutine(context_, [this](const asio::yield_context& yield) { conduct(yield); });
        adapters::spawn_coroutine(context_, [this](const asio::yield_context& yield) { watch(yield); });
        context_.run();
        return report();
    }

  private:
    // ---- course

    void conduct(const asio::yield_context& yield) {
        adapters::sleep_for(calm_time, yield);
        for (std::size_t i = 0; i < settings_.callers; ++i) {
            adapters::spawn_coroutine(
                context_, [this](const asio::yield_context& inner) { run_caller(callers_, inner); });
        }
        const auto plan = make_plan(settings_.plan);
        const auto began = clock::now();
        for (const auto& fault : plan) {
            adapters::sleep_for(fault.at - core::to_ms(clock::now() - began), yield);
            begin(fault);
        }
        faults_ = plan.size();
        while (active_ > 0) {
            adapters::sleep_for(watch_interval, yield);
        }
        for (auto& slot : engines_) {
            slot.engine->set_manners({0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0});
        }
        adapters::sleep_for(recovery_time, yield);
        callers_.calm = true;
        adapters::sleep_for(calm_time, yield);
        callers_.stopping = true;
        adapters::sleep_for(settle_time, yield);
        stop_nodes(yield);
        context_.stop();
    }

    void begin(const planned_fault& fault) {
        ++active_;
        adapters::spawn_coroutine(context_, [this, fault](const asio::yield_context& yield) {
            const auto from = clock::now();
            const std::size_t entry = ledger_.faults.size();
            if (!is_planned_work(fault.kind)) {
                // Open until its end is known.
                ledger_.faults.push_back({from, clock::time_point::max() - std::chrono::hours(1)});
            }
            inject(fault, yield);
            if (!is_planned_work(fault.kind)) {
                ledger_.faults.at(entry).until = clock::now();
            }
            --active_;
        });
    }

    void inject(const planned_fault& fault, const asio::yield_context& yield) {
        auto& node = nodes_.at(fault.target % nodes_.size());
        auto& engine = engines_.at(fault.target % engines_.size());
        switch (fault.kind) {
        case fault_kind::kill_node:
            return end_node(node, SIGKILL, fault.duration, yield);
        case fault_kind::stop_node:
            return end_node(node, SIGTERM, fault.duration, yield);
        case fault_kind::pause_node:
            return pause_node(node, fault.duration, yield);
        case fault_kind::reload_node:
            node.process->process->send_signal(SIGHUP);
            return;
        case fault_kind::delay_store_link:
            return disturb(node.store_link, link_fault::delayed, fault.duration, yield);
        case fault_kind::silence_store_link:
            return disturb(node.store_link, link_fault::silent, fault.duration, yield);
        case fault_kind::cut_store_answers:
            return disturb(node.store_link, link_fault::answers_cut, fault.duration, yield);
        case fault_kind::reset_store_link:
            return disturb(node.store_link, link_fault::reset, fault.duration, yield);
        case fault_kind::store_away:
            world_.store().set_unavailable(true);
            adapters::sleep_for(fault.duration, yield);
            world_.store().set_unavailable(false);
            return;
        case fault_kind::lose_store_answers:
            world_.store().drop_write_replies(lost_answers);
            return;
        case fault_kind::delay_engine_link:
            return disturb(engine.link, link_fault::delayed, fault.duration, yield);
        case fault_kind::silence_engine_link:
            return disturb(engine.link, link_fault::silent, fault.duration, yield);
        case fault_kind::cut_engine_answers:
            return disturb(engine.link, link_fault::answers_cut, fault.duration, yield);
        case fault_kind::reset_engine_link:
            return engine.link->reset_all();
        case fault_kind::crash_engine:
            return crash_engine(engine, fault.duration, yield);
        case fault_kind::drain_engine:
            return drain_engine(engine, yield);
        case fault_kind::add_key:
            live_keys_.push_back("k" + std::to_string(++next_key_));
            configure();
            callers_.keys.push_back(live_keys_.back());
            return;
        case fault_kind::revoke_key:
            return revoke_key();
        case fault_kind::withdraw_tenants:
            return withdraw_tenants(fault.duration, yield);
        case fault_kind::odd_entries:
            return add_odd_entries(fault.duration, yield);
        }
    }

    // ---- nodes

    void end_node(node_slot& node, int signal, milliseconds down, const asio::yield_context& yield) {
        auto& process = *node.process->process;
        if (process.exit_code()) {
            return;
        }
        const bool first = !node.ending;
        node.ending = true;
        node.killed = node.killed || signal == SIGKILL || node.pauses > 0;
        process.send_signal(signal);
        if (!first) {
            // The one that began to end it starts it again.
            return;
        }
        const auto limit = clock::now() + grace_time + grace_margin;
        while (!process.exit_code()) {
            node.killed = node.killed || node.pauses > 0;
            if (clock::now() > limit && !node.killed) {
                ledger_.violations.push_back("node " + node.process->ip + " outlived its grace time");
                process.send_signal(SIGKILL);
                node.killed = true;
            }
            adapters::sleep_for(watch_interval, yield);
        }
        if (!node.killed && process.exit_code() != 0) {
            ledger_.violations.push_back("node " + node.process->ip + " ended with code " +
                                         std::to_string(*process.exit_code()));
        }
        adapters::sleep_for(down, yield);
        world_.relaunch(*node.process);
        node.ending = false;
        node.killed = false;
    }

    void pause_node(node_slot& node, milliseconds duration, const asio::yield_context& yield) {
        ++node.pauses;
        node.process->process->send_signal(SIGSTOP);
        adapters::sleep_for(duration, yield);
        if (--node.pauses == 0) {
            node.process->process->send_signal(SIGCONT);
        }
    }

    void stop_nodes(const asio::yield_context& yield) {
        for (auto& node : nodes_) {
            node.ending = true;
            node.process->process->send_signal(SIGTERM);
        }
        const auto limit = clock::now() + grace_time + grace_margin;
        for (auto& node : nodes_) {
            while (!node.process->process->exit_code() && clock::now() < limit) {
                adapters::sleep_for(watch_interval, yield);
            }
            if (node.process->process->exit_code() != 0) {
                ledger_.violations.push_back("node " + node.process->ip + " did not end in order at last");
            }
        }
    }

    // Processes that end by themselves, and the time for which the soak's own thread, on which the engines
    // run, was held up.
    void watch(const asio::yield_context& yield) {
        auto last = clock::now();
        while (true) {
            const auto late = core::to_ms(clock::now() - last) - watch_interval;
            longest_delay_ = std::max(longest_delay_, late);
            last = clock::now();
            for (auto& node : nodes_) {
                if (!node.ending && node.process->process->exit_code()) {
                    ledger_.violations.push_back("node " + node.process->ip + " ended by itself with code " +
                                                 std::to_string(*node.process->process->exit_code()) + ": " +
                                                 node.process->process->errors());
                    world_.relaunch(*node.process);
                }
            }
            adapters::sleep_for(watch_interval, yield);
        }
    }

    // ---- links and engines

    static void disturb(const loopback_proxy_ptr& link, link_fault fault, milliseconds duration,
                        const asio::yield_context& yield) {
        const link_disturbance disturbance(link, fault);
        adapters::sleep_for(duration, yield);
    }

    void start_engine(engine_slot& slot) {
        slot.id = "e" + std::to_string(++next_engine_);
        slot.engine =
            std::make_unique<soak_engine>(context_, slot.id, ledger_, settings_.plan.seed + next_engine_);
        slot.link = std::make_shared<loopback_proxy>(context_, slot.engine->address());
        world_.add_engine(slot.id, slot.service, slot.link->address(), "ready");
        slot.leaving = false;
    }

    void crash_engine(engine_slot& slot, milliseconds down, const asio::yield_context& yield) {
        if (slot.leaving) {
            return;
        }
        slot.leaving = true;
        slot.engine->crash();
        slot.link->reset_all();
        adapters::sleep_for(down, yield);
        const auto gone = slot.id;
        start_engine(slot);
        adapters::sleep_for(std::max(entry_lifetime - down, milliseconds(0)), yield);
        world_.store().remove("servers/" + gone);
    }

    void drain_engine(engine_slot& slot, const asio::yield_context& yield) {
        // One engine of a service has to be left for others to go to.
        const auto leaving = std::count_if(engines_.begin(), engines_.end(), [&](const engine_slot& one) {
            return one.leaving && one.service == slot.service;
        });
        if (slot.leaving || std::size_t(leaving) + 1 >= settings_.engines) {
            return;
        }
        slot.leaving = true;
        ledger_.drained_engines[slot.id] = clock::now();
        world_.add_engine(slot.id, slot.service, slot.link->address(), "draining");
        adapters::sleep_for(drain_time, yield);
        world_.store().remove("servers/" + slot.id);
        adapters::sleep_for(drain_time, yield);
        start_engine(slot);
    }

    void revoke_key() {
        if (live_keys_.size() < 2) {
            return;
        }
        const auto key = live_keys_.back();
        live_keys_.pop_back();
        configure();
        ledger_.revoked_keys[key] = clock::now();
    }

    // Lasts for longer than keys may still admit requests. Spans that overlap end together, with the last.
    void withdraw_tenants(milliseconds duration, const asio::yield_context& yield) {
        if (++withdrawals_ == 1) {
            configure();
            ledger_.without_tenants.push_back({clock::now(), clock::time_point::max()});
        }
        adapters::sleep_for(revocation_time + duration, yield);
        if (--withdrawals_ == 0) {
            ledger_.without_tenants.back().until = clock::now();
            configure();
        }
    }

    void add_odd_entries(milliseconds duration, const asio::yield_context& yield) {
        const std::string begin = R"({"service":"shop","zone":"z","version":"v1","state":"ready","slots":)";
        const std::string deep(100000, '[');
        const std::vector<std::string> odd = {
            begin + R"(8,"address":"127.0.0.1:70000"})", begin + R"(1e999,"address":"127.0.0.1:9"})",
            begin + R"(8,"address":"127.0.0.1:9","models":)" + deep, deep, "\xff\xfe"};
        for (std::size_t i = 0; i < odd.size(); ++i) {
            world_.store().put("servers/odd-" + std::to_string(i), odd.at(i));
        }
        adapters::sleep_for(duration, yield);
        for (std::size_t i = 0; i < odd.size(); ++i) {
            world_.store().remove("servers/odd-" + std::to_string(i));
        }
    }

    void configure() {
        if (withdrawals_ > 0) {
            world_.configure_tenants(++config_version_, nlohmann::json::array(), order_attempts);
        } else {
            world_.configure(++config_version_, live_keys_, order_attempts);
        }
    }

    // ---- end

    soak_report report() {
        soak_report made;
        made.broken = broken_promises(ledger_, {});
        made.outcomes = callers_.outcomes;
        made.faults = faults_;
        made.longest_delay = longest_delay_;
        if (!made.broken.empty()) {
            made.kept_output = (std::filesystem::temp_directory_path() /
                                ("figspoke-soak-" + std::to_string(settings_.plan.seed)))
                                   .string();
            std::filesystem::remove_all(made.kept_output);
            std::filesystem::copy(world_.output_directory(), made.kept_output,
                                  std::filesystem::copy_options::recursive);
        }
        return made;
    }

    soak_settings settings_;
    asio::io_context context_{1};
    promise_ledger ledger_;
    std::vector<std::string> live_keys_{"k1", "k2", "k3"};
    int next_key_ = 3;
    int config_version_ = 0;
    /// Withdrawals of all tenants that last.
    int withdrawals_ = 0;
    unsigned next_engine_ = 0;
    int active_ = 0;
    std::size_t faults_ = 0;
    milliseconds longest_delay_{0};
    caller_world callers_;
    test::relay_cluster world_;
    std::vector<engine_slot> engines_;
    std::vector<node_slot> nodes_;
};

} // namespace

soak_report run_soak(const soak_settings& settings) {
    return soak_world(settings).run();
}

} // namespace figspoke::soak
