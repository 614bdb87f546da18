#include "platform/soak/soak_run.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <deque>
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
// Where the store returns from copies, configurations may take two seconds more.
constexpr milliseconds revocation_time_with_returns{5000};
// A return is away for a moment; then the operator and the engines write again, each within its time.
constexpr int longest_return_away_ms = 2000;
constexpr int operator_writes_within_ms = 2000;
// Where a key was withdrawn right before the return, no copy has it: its bound holds only if the operator
// writes again at once.
constexpr int operator_writes_at_once_ms = 500;
constexpr int engines_write_within_ms = 2000;
// A return adds a key where fewer are left.
constexpr std::size_t least_keys = 3;
constexpr milliseconds oldest_copy{6000};
constexpr milliseconds young_copy{1500};
constexpr milliseconds check_in_interval{250};
// An engine that has left serves on for long, so that requests that still come are seen.
constexpr milliseconds left_engine_lifetime{8000};
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
    /// The node's own address of the store.
    std::string store_address;
    /// Faults that hold the process stopped.
    int pauses = 0;
    /// A signal was sent that ends it.
    bool ending = false;
    bool killed = false;
    /// Index of the restart under way in the ledger.
    std::size_t restart = 0;
};

struct engine_slot {
    std::string service;
    std::unique_ptr<soak_engine> engine;
    loopback_proxy_ptr link;
    std::string id;
    bool leaving = false;
    /// State in its registry entry; empty while it has none.
    std::string registered;
    /// It writes its entry again from then on.
    core::steady_time writes_from = core::steady_time::min();
};

class soak_world {
  public:
    explicit soak_world(const soak_settings& settings)
        : settings_(settings),
          callers_{context_, ledger_, {}, {"k1", "k2", "k3"}, std::mt19937(settings.plan.seed), 1, false,
                   false,    {},      0} {
        if (settings.plan.returns) {
            world_.set_revocation(revocation_time_with_returns);
            revocation_ = revocation_time_with_returns;
        }
        if (settings.plan.returns && settings.plan.seed % 2 == 0) {
            world_.store().state_era(1);
        }
        configure();
        for (std::size_t i = 0; i < settings.engines * 2; ++i) {
            engines_.push_back({i % 2 == 0 ? "shop" : "model", nullptr, nullptr, {}, false, {}, {}});
            start_engine(engines_.back());
        }
        for (std::size_t i = 0; i < settings.nodes; ++i) {
            node_slot node;
            node.store_address =
                settings.plan.returns && i > 0 ? world_.store().add_address() : world_.store().address();
            node.store_link = std::make_shared<loopback_proxy>(context_, node.store_address);
            node.process = &world_.launch_node(node.store_link->address());
            callers_.directories.push_back(node.process->directory);
            nodes_.push_back(std::move(node));
        }
    }

    soak_report run() {
        adapters::spawn_coroutine(context_, [this](const asio::yield_context& yield) { conduct(yield); });
        adapters::spawn_coroutine(context_, [this](const asio::yield_context& yield) { watch(yield); });
        if (settings_.plan.returns) {
            adapters::spawn_coroutine(context_,
                                      [this](const asio::yield_context& yield) { check_in(yield); });
        }
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
            await_operator(yield);
            return add_key();
        case fault_kind::revoke_key:
            return revoke_key(yield);
        case fault_kind::withdraw_tenants:
            return withdraw_tenants(fault.duration, yield);
        case fault_kind::odd_entries:
            return add_odd_entries(fault.duration, yield);
        case fault_kind::store_return:
            return return_store(fault, yield);
        case fault_kind::store_turns_away:
            return turn_nodes_away(fault, yield);
        }
    }

    // ---- nodes

    void end_node(node_slot& node, int signal, milliseconds down, const asio::yield_context& yield) {
        auto& process = *node.process->process;
        if (process.exit_code()) {
            return;
        }
        const bool first = !node.ending;
        if (first) {
            node.restart = ledger_.restarts.size();
            ledger_.restarts.push_back({clock::now(), clock::time_point::max() - std::chrono::hours(1)});
        }
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
        ledger_.restarts.at(node.restart).until = clock::now();
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
            if (settings_.plan.returns) {
                take_copy();
            }
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

    void register_engine(engine_slot& slot, const std::string& state) {
        slot.registered = state;
        world_.add_engine(slot.id, slot.service, slot.link->address(), state);
    }

    void start_engine(engine_slot& slot) {
        slot.id = "e" + std::to_string(++next_engine_);
        slot.engine =
            std::make_unique<soak_engine>(context_, slot.id, ledger_, settings_.plan.seed + next_engine_);
        slot.link = std::make_shared<loopback_proxy>(context_, slot.engine->address());
        register_engine(slot, "ready");
        slot.leaving = false;
    }

    void crash_engine(engine_slot& slot, milliseconds down, const asio::yield_context& yield) {
        if (slot.leaving) {
            return;
        }
        slot.leaving = true;
        slot.registered.clear();
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
        register_engine(slot, "draining");
        adapters::sleep_for(drain_time, yield);
        slot.registered.clear();
        world_.store().remove("servers/" + slot.id);
        adapters::sleep_for(settings_.plan.returns ? left_engine_lifetime : drain_time, yield);
        start_engine(slot);
    }

    // The store acknowledges nothing while it is away, so the operator waits.
    void await_operator(const asio::yield_context& yield) const {
        while (returning_) {
            adapters::sleep_for(watch_interval, yield);
        }
    }

    void revoke_key(const asio::yield_context& yield) {
        await_operator(yield);
        withdraw_last_key();
    }

    void add_key() {
        live_keys_.push_back("k" + std::to_string(++next_key_));
        configure();
        callers_.keys.push_back(live_keys_.back());
    }

    void withdraw_last_key() {
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
        await_operator(yield);
        if (++withdrawals_ == 1) {
            configure();
            ledger_.without_tenants.push_back({clock::now(), clock::time_point::max()});
        }
        adapters::sleep_for(revocation_ + duration, yield);
        await_operator(yield);
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
        ++config_version_;
        write_configuration();
    }

    void write_configuration() {
        if (withdrawals_ > 0) {
            world_.configure_tenants(config_version_, nlohmann::json::array(), order_attempts);
        } else {
            world_.configure(config_version_, live_keys_, order_attempts);
        }
    }

    // ---- the store

    void take_copy() {
        copies_.push_back(world_.store().take_copy());
        if (copies_.size() > std::size_t(oldest_copy / watch_interval)) {
            copies_.pop_front();
        }
    }

    // Engines write their entries again and again, so that revisions rise.
    void check_in(const asio::yield_context& yield) {
        while (true) {
            adapters::sleep_for(check_in_interval, yield);
            for (auto& slot : engines_) {
                if (!slot.registered.empty() && clock::now() >= slot.writes_from) {
                    register_engine(slot, slot.registered);
                }
            }
        }
    }

    void return_store(const planned_fault& fault, const asio::yield_context& yield) {
        if (rewriting_ || copies_.empty()) {
            return;
        }
        rewriting_ = true;
        std::mt19937 random(unsigned(fault.target));
        const auto draw = [&](int below) { return milliseconds(random() % unsigned(below)); };
        // Keys are withdrawn right before and right after returns, and between the copy and the return.
        const auto when = random() % 3;
        auto copy = copies_.at(random() % copies_.size());
        if (when == 0) {
            withdraw_last_key();
        } else if (when == 1) {
            copy = world_.store().take_copy();
            withdraw_last_key();
            adapters::sleep_for(young_copy - draw(int(young_copy.count() / 2)), yield);
        }
        returning_ = true;
        for (auto& slot : engines_) {
            slot.writes_from = clock::time_point::max();
        }
        world_.store().turn_all_away(random() % 2 == 0 ? test::store_refusal::status_503
                                                       : test::store_refusal::refused_connections);
        adapters::sleep_for(draw(longest_return_away_ms), yield);
        world_.store().return_from(copy);
        world_.store().turn_all_away(test::store_refusal::none);
        const auto returned = clock::now();
        for (auto& slot : engines_) {
            slot.writes_from = returned + draw(engines_write_within_ms);
        }
        adapters::sleep_for(draw(when == 0 ? operator_writes_at_once_ms : operator_writes_within_ms), yield);
        write_configuration();
        returning_ = false;
        if (when == 2) {
            withdraw_last_key();
        }
        if (live_keys_.size() < least_keys) {
            add_key();
        }
        adapters::sleep_for(milliseconds(engines_write_within_ms) - core::to_ms(clock::now() - returned),
                            yield);
        rewriting_ = false;
        adapters::sleep_for(entry_lifetime - core::to_ms(clock::now() - returned), yield);
        remove_lapsed_entries(copy);
    }

    // Entries that only the copy has.
    void remove_lapsed_entries(const test::store_copy& copy) {
        for (const auto& [key, item] : copy.items) {
            const bool registered =
                std::any_of(engines_.begin(), engines_.end(), [key = key](const engine_slot& slot) {
                    return !slot.registered.empty() && key == "servers/" + slot.id;
                });
            if (key.rfind("servers/e", 0) == 0 && !registered) {
                world_.store().remove(key);
            }
        }
    }

    void turn_nodes_away(const planned_fault& fault, const asio::yield_context& yield) {
        static constexpr std::array refusals{test::store_refusal::status_503, test::store_refusal::status_429,
                                             test::store_refusal::reset, test::store_refusal::silence,
                                             test::store_refusal::refused_connections};
        std::mt19937 random(unsigned(fault.target));
        const auto refusal = refusals.at(random() % refusals.size());
        // One node at least is served.
        const auto away = 1 + random() % std::max<std::size_t>(nodes_.size() - 1, 1);
        const auto first = random() % nodes_.size();
        std::vector<std::string> turned_away;
        for (std::size_t i = 0; i < away; ++i) {
            turned_away.push_back(nodes_.at((first + i) % nodes_.size()).store_address);
            world_.store().turn_away(turned_away.back(), refusal);
        }
        adapters::sleep_for(fault.duration, yield);
        for (const auto& address : turned_away) {
            world_.store().turn_away(address, test::store_refusal::none);
        }
    }

    // ---- end

    soak_report report() {
        soak_report made;
        promise_bounds bounds;
        bounds.revocation = revocation_;
        made.broken = broken_promises(ledger_, bounds);
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
    milliseconds revocation_ = revocation_time;
    /// Copies of the store, the oldest first.
    std::deque<test::store_copy> copies_;
    /// The store is away, or the operator has not written again yet.
    bool returning_ = false;
    /// The same, or an engine has not written again yet.
    bool rewriting_ = false;
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
