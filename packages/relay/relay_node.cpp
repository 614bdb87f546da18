#include "relay/relay_node.h"

#include <csignal>
#include <cstdlib>

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "adapters/decision_log.h"
#include "relay/boot_clock.h"
#include "relay/caller_connection.h"
#include "relay/crash_records.h"
#include "relay/crash_store.h"
#include "relay/document_loops.h"
#include "relay/forward.h"
#include "relay/limits.h"
#include "relay/paces.h"
#include "relay/relay_state.h"
#include "relay/restrictions.h"
#include "relay/rollouts.h"
#include "state/discovery.h"

namespace figspoke::relay {
namespace {

namespace asio = boost::asio;
using nlohmann::json;

// Maximum number of addresses in the reply to a lookup.
constexpr std::size_t max_addresses = 64;
// Validity of the reply to a lookup. It is short, so that callers, some of which use a reply for three times
// as long, learn that a node is stopping before it stops accepting requests. Lookups are cheap.
constexpr core::milliseconds entry_validity{1000};
// Pause between two log lines about limits on memory. Many connections may reach them at the same time.
constexpr core::milliseconds limit_log_pause{1000};
// File descriptors reserved for listening sockets, peers and the store; callers and upstreams share the rest.
constexpr std::int64_t reserved_descriptors = 260;
constexpr core::milliseconds tick{200};
// Ticks between repetitions of load reports. Aggregators drop a report after 1.5 s, so two repetitions may be
// lost.
constexpr std::uint64_t refresh_ticks = 2;
// Ticks between messages about the limits that upstreams have named.
constexpr std::uint64_t limit_ticks = 5;
// A longer time between two ticks means that the VM was paused.
constexpr core::milliseconds min_vm_pause{700};
// An upstream may restart unseen in a pause of this length.
constexpr core::milliseconds min_unseen_restart{2000};
constexpr core::milliseconds drain_poll{50};
constexpr core::milliseconds stall_poll{50};
// Connections that are idle for longer are closed, even if the upstream would keep them open.
constexpr core::milliseconds max_pool_idle{10000};

std::vector<std::string> seed_addresses(const core::relay_settings& settings) {
    const auto port = settings.listen.peers.substr(settings.listen.peers.rfind(':'));
    std::vector<std::string> addresses;
    for (const auto& seed : settings.seeds) {
        addresses.push_back(seed.substr(0, seed.find(':')) + port);
    }
    return addresses;
}

class relay_node {
  public:
    relay_node(const core::relay_settings& settings, const wire_protocol& protocol,
               const platform_builder& platform, directory_port directory,
               std::function<core::result<core::relay_settings>()> reload)
        : state_(context_, settings, protocol, platform(context_)), directory_(std::move(directory)),
          reload_(std::move(reload)), signals_(context_, SIGTERM, SIGINT, SIGHUP) {
        state_.peers = std::make_unique<fleet>(context_, make_fleet_settings(), make_fleet_hooks());
        state_.platform.store->on_return = [this](const state::store_position& previous) {
            handle_store_return(state_, previous);
        };
        state_.aggregators =
            std::make_unique<load_aggregators>(state_.settings.node_id, state_.peers->incarnation(),
                                               aggregator_settings(), make_aggregator_hooks());
    }

    // Exits the process instead of returning. Suspended coroutines belong to the context and refer to the
    // node, so neither can be destroyed before the other, and no state needs an orderly destruction.
    [[noreturn]] void run() {
        log_start();
        open_servers();
        state_.peers->start();
        spawn([this](const asio::yield_context& yield) { wait_for_signals(yield); });
        spawn([this](const asio::yield_context& yield) {
            fetch_first_document(state_, document_kind::operator_config, seed_addresses(state_.settings),
                                 yield);
            run_document_loop(state_, document_kind::operator_config, yield);
        });
        spawn([this](const asio::yield_context& yield) {
            run_document_loop(state_, document_kind::registry, yield);
        });
        spawn([this](const asio::yield_context& yield) { discover_nodes(yield); });
        spawn([this](const asio::yield_context& yield) { run_crash_store_loop(state_, yield); });
        spawn([this](const asio::yield_context& yield) { run_ticks(yield); });
        spawn([this](const asio::yield_context& yield) { watch_sends(yield); });
        context_.run();
        adapters::close_log();
        std::_Exit(EXIT_SUCCESS);
    }

  private:
    template <class Function>
    void spawn(Function function) {
        asio::spawn(context_, std::move(function), [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    }

    fleet_settings make_fleet_settings() const {
        const auto& from = state_.settings;
        return {from.node_id,      from.failure_domain,  from.listen.callers,
                from.listen.peers, seed_addresses(from), from.regions};
    }

    fleet_hooks make_fleet_hooks() {
        fleet_hooks hooks;
        hooks.add_local_state = [this](heartbeat_message& message) { add_local_state(message); };
        hooks.on_claim = [this](document_kind kind, const state::document_claim& claim,
                                const state::clock_echo& echo, const state::member_entry& peer) {
            handle_claim(state_, kind, claim, echo, peer);
        };
        hooks.on_crashes = [this](const std::vector<crash_record>& records) {
            for (const auto& [upstream, at] : merge_crash_records(state_.crashes, records, boot_now())) {
                confirm_upstream_crash(state_, upstream, at);
            }
            close_refused_sends(state_);
        };
        hooks.on_rollouts = [this](const std::vector<rollout_record>& records) {
            for (const auto& record : records) {
                merge_rollout_record(state_, record);
            }
        };
        hooks.on_trials = [this](const std::vector<trial_record>& records) {
            merge_trial_records(state_, records);
        };
        hooks.on_cells_changed = [this](std::size_t cells) {
            state_.log.state("fleet_divided", {{"cells", cells}, {"members", state_.peers->size()}});
        };
        hooks.on_sessions = [this](const std::vector<session_record>& records) {
            for (const auto& record : records) {
                policy::record_session(state_.sessions, record.session, boot_now() - record.age);
            }
        };
        hooks.on_load_message = [this](std::string_view bytes, const std::string& from) {
            state_.aggregators->receive(bytes, from);
        };
        hooks.on_limit_message = [this](std::string_view bytes) { merge_limit_message(state_, bytes); };
        hooks.on_pace_message = [this](std::string_view bytes) { merge_pace_message(state_, bytes); };
        hooks.on_heartbeat = [this] {
            for (const auto& [service, waiting] : state_.queue.services) {
                wake_next(state_, service);
            }
        };
        return hooks;
    }

    aggregator_hooks make_aggregator_hooks() {
        aggregator_hooks hooks;
        hooks.place_of = [this](const std::string& upstream) {
            return state_.peers->aggregator_of(upstream);
        };
        hooks.send = [this](const std::string& address, const std::string& bytes) {
            state_.peers->send_bytes(address, bytes);
        };
        hooks.slots_of = [this](const std::string& upstream) {
            const auto found = state_.registry.upstreams.find(upstream);
            return found == state_.registry.upstreams.end() ? 1 : found->second.entry.slots;
        };
        hooks.defer = [this](std::function<void()> function) { asio::post(context_, std::move(function)); };
        return hooks;
    }

    static policy::load_table_settings aggregator_settings() {
        policy::load_table_settings settings;
        settings.health = upstream_health_settings();
        return settings;
    }

    void add_local_state(heartbeat_message& message) {
        const auto spread = state_.peers->propagation_time();
        for (std::size_t i = 0; i < document_count; ++i) {
            message.documents.at(i) = own_claim(state_, static_cast<document_kind>(i));
        }
        if (!asks_load_aggregators(state_)) {
            message.uses = local_uses();
        }
        message.trials = trial_records(state_, max_trial_record_age + spread);
        message.rollouts = rollout_records(state_);
        const auto now = boot_now();
        for (const auto& recent : policy::recent_sessions(state_.sessions, max_session_record_age + spread,
                                                          max_session_records, now)) {
            message.sessions.push_back({recent.session, core::to_ms(now - recent.last_seen)});
        }
        message.crashes = crash_records(state_.crashes, max_crash_record_age + spread, boot_now());
    }

    std::map<std::string, upstream_use> local_uses() const {
        auto uses = state_.uses;
        for (auto& [id, use] : uses) {
            if (const auto last_byte_at = state_.last_byte_at.find(id);
                last_byte_at != state_.last_byte_at.end()) {
                use.silence = core::to_ms(boot_now() - last_byte_at->second);
            }
        }
        return uses;
    }

    // ---- servers

    void open_servers() {
        const auto& listen = state_.settings.listen;
        caller_server_hooks hooks;
        hooks.serve = [this](caller_exchange& exchange) { serve(exchange); };
        hooks.limits = [this] { return state_.routes ? state_.routes->limits : state::input_limits{}; };
        hooks.leaving = [this] { return state_.stop.has_value(); };
        hooks.refused = [this](int status, std::string_view reason) {
            state_.metrics.add("relay_unreadable_requests_total", {{"status", std::to_string(status)}});
            state_.log.request({{"event", "request_unreadable"}, {"status", status}, {"reason", reason}});
        };
        const auto callers =
            std::size_t(std::max<std::int64_t>((state_.settings.descriptors - reserved_descriptors) / 2, 64));
        hooks.limited = [this](const std::string& client, std::string_view limit) {
            record_memory_limit(client, limit);
        };
        callers_ = std::make_unique<caller_server>(context_, listen.callers, std::move(hooks), callers,
                                                   state_.memory);
        readiness_ = make_server(listen.readiness, [this](const adapters::http_request& request) {
            return directory_.answer_readiness(request, is_ready(state_));
        });
        lookups_ = make_server(listen.directory,
                               [this](const adapters::http_request& request) { return look_up(request); });
        documents_ = make_server(listen.peers,
                                 [this](const adapters::http_request& request) { return document(request); });
        if (!listen.metrics.empty()) {
            metrics_ = make_server(listen.metrics, [this](const adapters::http_request& request) {
                return render_metrics(request);
            });
        }
    }

    void record_memory_limit(const std::string& client, std::string_view limit) {
        state_.metrics.add("relay_memory_limits_reached_total", {{"limit", std::string(limit)}});
        const auto now = boot_now();
        if (now < next_limit_log_) {
            ++limits_not_logged_;
            return;
        }
        next_limit_log_ = now + limit_log_pause;
        state_.log.state(
            "memory_limit_reached",
            {{"client", client}, {"limit", limit}, {"not_logged", std::exchange(limits_not_logged_, 0)}});
    }

    void render_memory() {
        for (std::size_t i = 0; i < policy::memory_share_count; ++i) {
            const auto share = static_cast<policy::memory_share>(i);
            const auto use = state_.memory.use(share);
            const adapters::metric_labels labels{{"share", std::string(policy::to_string(share))}};
            state_.metrics.set("relay_memory_bytes", labels, double(use.used));
            state_.metrics.set("relay_memory_limit_bytes", labels, double(use.limit));
            state_.metrics.set("relay_memory_refused", labels, double(use.refused));
            state_.metrics.set("relay_memory_yielded", labels, double(use.yielded));
        }
    }

    void render_store() {
        const auto& store = *state_.platform.store;
        state_.metrics.set("relay_store_era", {{"source", "stated"}}, store.known.era.stated);
        state_.metrics.set("relay_store_era", {{"source", "detected"}}, store.known.era.detected);
        state_.metrics.set("relay_store_unusable_eras", {}, double(store.unusable_eras));
        state_.metrics.set("relay_store_outdated_answers", {}, double(store.outdated_answers));
    }

    using simple_handler = std::function<std::optional<adapters::http_reply>(const adapters::http_request&)>;

    std::unique_ptr<adapters::http_server> make_server(const std::string& address, simple_handler handler) {
        const auto serve = [handler = std::move(handler)](adapters::http_exchange& exchange) {
            auto reply = handler(exchange.request());
            exchange.send(reply ? *reply : adapters::http_reply{404, {}, {}});
        };
        const auto refuse = [](int status, std::string_view what) {
            return adapters::http_reply{status, {}, std::string(what)};
        };
        return std::make_unique<adapters::http_server>(context_, address, serve, refuse);
    }

    void serve(caller_exchange& exchange) {
        try {
            forward_request(state_, exchange);
        } catch (const std::exception& failure) {
            // The connection closes without a reply, so the caller can't conclude whether the request has
            // run.
            state_.log.state("request_failed_internally", {{"cause", failure.what()}});
        }
    }

    std::optional<adapters::http_reply> look_up(const adapters::http_request& request) {
        // A node whose configuration is no longer confirmed refers callers to its peers.
        const auto age = document_age(state_, document_kind::operator_config, boot_now());
        const bool fresh = is_ready(state_) && age < state_.settings.bounds.revocation / 2;
        const auto addresses =
            state_.peers->caller_addresses(directory_.caller_of(request), max_addresses, fresh);
        const auto validity = std::min(entry_validity, state_.settings.bounds.entry_validity);
        return directory_.answer_lookup(request, addresses, validity);
    }

    std::optional<adapters::http_reply> document(const adapters::http_request& request) {
        for (std::size_t i = 0; i < document_count; ++i) {
            const auto kind = static_cast<document_kind>(i);
            const auto& known = state_.documents.at(i);
            if (request.path == document_path(kind) && known.content) {
                auto& packed = state_.packed.at(i);
                if (!holds_items(packed, *known.content)) {
                    packed = pack_document(*known.content);
                }
                const auto held_back = kind == document_kind::registry
                                           ? state::told_held_entries(state_.registry)
                                           : std::vector<state::told_held_entry>{};
                return adapters::http_reply{
                    200, {}, encode_document(*known.content, packed, ages_of(known, boot_now()), held_back)};
            }
        }
        return std::nullopt;
    }

    std::optional<adapters::http_reply> render_metrics(const adapters::http_request& request) {
        if (request.path != "/metrics") {
            return std::nullopt;
        }
        state_.metrics.set("relay_caller_connections", {}, double(callers_->connections()));
        state_.metrics.set("relay_running_requests", {}, double(callers_->running()));
        for (const auto& [reason, count] : count_restrictions(state_)) {
            state_.metrics.set("relay_upstreams", {{"restriction", reason}}, count);
        }
        render_memory();
        state_.metrics.set("relay_live_members", {}, double(state_.peers->size()));
        const auto age = document_age(state_, document_kind::operator_config, boot_now());
        state_.metrics.set("relay_configuration_age_seconds", {}, core::to_seconds(age));
        render_store();
        return adapters::http_reply{
            200, {{"content-type", "text/plain; version=0.0.4"}}, state_.metrics.render()};
    }

    // ---- loops

    void run_ticks(const asio::yield_context& yield) {
        auto last = boot_now();
        std::uint64_t ticks = 0;
        while (!state_.stopped) {
            adapters::sleep_for(tick, yield);
            const auto passed = boot_now() - std::exchange(last, boot_now());
            ++ticks;
            if (asks_load_aggregators(state_) && ticks % refresh_ticks == 0) {
                state_.aggregators->refresh(local_uses());
            }
            if (ticks % limit_ticks == 0) {
                refresh_limits(state_);
                refresh_paces(state_);
            }
            tell_down_upstreams(state_);
            if (passed > min_unseen_restart) {
                assume_all_cold(state_);
            }
            update_rollouts(state_);
            write_rollout_states(state_, yield);
            state_.pool.expire(boot_now(), max_pool_idle);
            policy::refresh_running_sessions(state_.sessions, boot_now());
            policy::expire_sessions(state_.sessions, state_.settings.bounds.session + tick, boot_now());
            policy::expire_crashes(state_.crashes, {}, boot_now());
        }
    }

    // Plain requests move after some hundred milliseconds, which the tick is too coarse for.
    void watch_sends(const asio::yield_context& yield) {
        auto last = boot_now();
        while (!state_.stopped) {
            adapters::sleep_for(stall_poll, yield);
            const auto passed = boot_now() - std::exchange(last, boot_now());
            report_stalled_sends(state_, passed > min_vm_pause ? passed : core::nanoseconds(0));
        }
    }

    void discover_nodes(const asio::yield_context& yield) {
        const auto started = boot_now();
        auto read_at = started;
        // The era of the store in which this process has registered.
        std::optional<state::store_era> registered_in;
        auto pause = min_discovery_delay;
        while (!state_.stopped) {
            adapters::sleep_for(pause, yield);
            bool registered = registered_in.has_value();
            if (registered && *registered_in != state_.platform.store->known.era) {
                // What the store came back with may lack the address.
                registered_in.reset();
                registered = false;
                adapters::sleep_for(jitter_below(max_registration_delay), yield);
            }
            const auto step = state::next_discovery_step({core::to_ms(boot_now() - started),
                                                          state_.peers->size(), state_.peers->rank(),
                                                          registered, core::to_ms(boot_now() - read_at)},
                                                         {});
            if (step == state::discovery_step::none || state_.stop) {
                pause = min_discovery_delay;
                continue;
            }
            bool listed = true;
            if (step == state::discovery_step::read_and_write_addresses) {
                listed = read_node_addresses(yield);
                read_at = boot_now();
            }
            const auto& settings = state_.settings;
            if (listed && !registered) {
                const auto era = state_.platform.store->known.era;
                if (state_.platform.register_node(settings.node_id, settings.listen.peers, yield)) {
                    registered_in = era;
                }
            }
            // A lone node, and one that the store refuses, call less and less often.
            pause = std::min(pause * 2, max_discovery_delay);
        }
    }

    core::milliseconds jitter_below(core::milliseconds limit) {
        return core::milliseconds(std::int64_t(double(limit.count()) * draw(state_)));
    }

    bool read_node_addresses(const asio::yield_context& yield) {
        const auto known = state_.platform.list_nodes(yield);
        if (known) {
            state_.peers->add_seeds(*known);
        }
        state_.log.state("nodes_listed", {{"known", known ? known->size() : 0},
                                          {"cause", known ? "" : known.error().message}});
        return known.has_value();
    }

    void wait_for_signals(const asio::yield_context& yield) {
        while (true) {
            boost::system::error_code code;
            const int signal = signals_.async_wait(yield[code]);
            if (code) {
                return;
            }
            if (signal != SIGHUP) {
                stop(yield);
                return;
            }
            reload_settings();
        }
    }

    void reload_settings() {
        const auto read = reload_();
        if (!read) {
            state_.log.state("reload_failed", {{"cause", read.error().message}});
            return;
        }
        // Addresses can't change while sockets are bound to them.
        state_.settings.bounds = read->bounds;
        state_.settings.seeds = read->seeds;
        state_.peers->add_seeds(seed_addresses(state_.settings));
        state_.log.state("reloaded", {});
    }

    // Callers that use an old lookup reply keep sending requests, which are served. After that time idle
    // connections are closed, requests that may outlast the process are refused, and running ones may finish.
    void stop(const asio::yield_context& yield) {
        const auto plan = policy::plan_stop(boot_now(), state_.settings.bounds.grace, {});
        state_.stop = plan;
        state_.peers->set_state(state::member_state::leaving);
        state_.peers->announce();
        state_.log.state("stopping", {{"running", callers_->running()}});
        while (boot_now() < plan.accept_until) {
            adapters::sleep_for(drain_poll, yield);
        }
        callers_->stop_accepting();
        close_connections_until(plan.answer_until, yield);
        end_unanswered();
        close_connections_until(plan.end, yield);
        finish();
    }

    // Closes connections as they become idle; returns early once none is left.
    void close_connections_until(core::steady_time end, const asio::yield_context& yield) {
        callers_->close_idle();
        while (boot_now() < end && callers_->unfinished() > 0) {
            adapters::sleep_for(drain_poll, yield);
            callers_->close_idle();
        }
    }

    // A caller that gets no answer can't tell whether its request has run.
    void end_unanswered() {
        const auto handlers = state_.stop_handlers;
        for (const auto& [id, handler] : handlers) {
            if (state_.stop_handlers.count(id) > 0) {
                handler();
            }
        }
    }

    void finish() {
        state_.peers->set_state(state::member_state::left);
        state_.peers->announce();
        state_.log.state("stopped", {{"running", callers_->running()}});
        state_.stopped = true;
        context_.stop();
    }

    void log_start() {
        const auto& settings = state_.settings;
        state_.log.state("started", {{"node", settings.node_id},
                                     {"failure_domain", settings.failure_domain},
                                     {"callers", settings.listen.callers},
                                     {"peers", settings.listen.peers},
                                     {"store", settings.store_address}});
    }

    // Age up to which peers are informed of the first crash of a fingerprint.
    static constexpr core::milliseconds max_crash_record_age{4000};
    // Conversations are repeated in a few heartbeats, so that the loss of one datagram doesn't hide them. One
    // heartbeat holds at most `max_session_records`.
    static constexpr core::milliseconds max_session_record_age{1000};
    static constexpr std::size_t max_session_records = 200;
    // Reports are created on each tick; earlier heartbeats contained the older ones.
    static constexpr core::milliseconds max_trial_record_age{1000};
    static constexpr core::milliseconds min_discovery_delay{500};
    static constexpr core::milliseconds max_discovery_delay{8000};
    // The nodes that are listed in the store notice its return at the same time.
    static constexpr core::milliseconds max_registration_delay{2000};

    asio::io_context context_{1};
    relay_state state_;
    directory_port directory_;
    std::function<core::result<core::relay_settings>()> reload_;
    asio::signal_set signals_;
    std::unique_ptr<caller_server> callers_;
    std::unique_ptr<adapters::http_server> readiness_;
    std::unique_ptr<adapters::http_server> lookups_;
    std::unique_ptr<adapters::http_server> documents_;
    std::unique_ptr<adapters::http_server> metrics_;
    core::steady_time next_limit_log_{};
    std::uint64_t limits_not_logged_ = 0;
};

} // namespace

void run_relay_node(const core::relay_settings& settings, const wire_protocol& protocol,
                    const platform_builder& platform, const directory_port& directory,
                    const std::function<core::result<core::relay_settings>()>& reload) {
    relay_node node(settings, protocol, platform, directory, reload);
    node.run();
}

} // namespace figspoke::relay
