#include "relay/document_loops.h"

#include <algorithm>
#include <memory>

#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "adapters/await.h"
#include "relay/boot_clock.h"
#include "relay/document_codec.h"
#include "relay/paces.h"
#include "relay/restrictions.h"
#include "relay/rollouts.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

// A change must be in effect within two seconds of its acceptance. The sum of the interval, the delay until
// the next reader takes over and one call stays below that, even if the first reader has just ended.
constexpr state::read_schedule config_schedule{core::milliseconds(800), core::milliseconds(250),
                                               core::milliseconds(150), 3};
constexpr state::read_schedule registry_schedule{core::milliseconds(900), core::milliseconds(250),
                                                 core::milliseconds(150), 3};
// Longest sleep before the schedule is evaluated again.
constexpr core::milliseconds max_sleep{250};
// Delays between failed reads: outages of the store last for seconds, and calls to it should be few.
constexpr core::milliseconds min_retry_delay{250};
constexpr core::milliseconds max_retry_delay{1000};
constexpr core::milliseconds peer_fetch_timeout{400};
// Peers that a node asks for a document at its start.
constexpr std::size_t max_first_fetches = 2;
constexpr core::milliseconds first_fetch_poll{10};
// Smallest advance of a confirmation that is forwarded immediately: half of the shorter read interval.
constexpr core::milliseconds min_forward_advance{400};

const char* name_of(document_kind kind) {
    return kind == document_kind::operator_config ? "operator_config" : "registry";
}

json position_json(const state::store_position& position) {
    return {
        {"era", position.era.stated}, {"detected", position.era.detected}, {"revision", position.revision}};
}

state::shared_document& document_of(relay_state& node, document_kind kind) {
    return node.documents.at(static_cast<std::size_t>(kind));
}

void log_registry_changes(relay_state& node, const state::registry_changes& changes) {
    const bool any = !changes.added.empty() || !changes.restarted.empty() || !changes.draining.empty() ||
                     !changes.removed.empty() || !changes.kept.empty() || !changes.held_back.empty() ||
                     !changes.released.empty();
    if (any) {
        node.log.state("registry_changed", {{"added", changes.added},
                                            {"restarted", changes.restarted},
                                            {"draining", changes.draining},
                                            {"removed", changes.removed},
                                            {"kept", changes.kept},
                                            {"held_back", changes.held_back},
                                            {"released", changes.released}});
    }
}

void drop_upstream_state(relay_state& node, const state::registry_changes& changes) {
    for (const auto* list : {&changes.restarted, &changes.draining, &changes.removed}) {
        for (const auto& id : *list) {
            node.pool.drop(id);
        }
    }
    for (const auto* list : {&changes.restarted, &changes.removed}) {
        for (const auto& id : *list) {
            confirm_upstream_crash(node, id, boot_now());
            node.health.upstreams.erase(id);
            node.full_until.erase(id);
            node.speeds.upstreams.erase(id);
            node.upstream_paces.upstreams.erase(id);
            node.stated_loads.erase(id);
            node.aggregators->forget(id);
            node.limits.upstreams.erase(id);
        }
    }
}

// Upstreams of the first list may have run for long.
void begin_paces(relay_state& node, const state::registry_changes& changes) {
    for (const auto* list : {&changes.added, &changes.restarted}) {
        for (const auto& id : *list) {
            begin_upstream_pace(node, id, "started");
        }
    }
}

void apply_routes(relay_state& node, const state::document_content& content) {
    auto table = node.platform.decode_routes(content);
    if (!table) {
        node.log.state("configuration_unreadable", {{"at", state::pack_position(content.at)}});
        return;
    }
    if (!node.routes || node.routes->version != table->version) {
        node.log.state("configuration_in_effect", {{"version", table->version},
                                                   {"previous", node.routes ? node.routes->version : 0},
                                                   {"at", state::pack_position(content.at)}});
    }
    node.routes = std::make_shared<const state::route_table>(std::move(*table));
}

// How a document was updated. Contents of the same hash may differ in the sequences of upstreams.
enum class document_update { changed, same_hash, confirmed };

state::registry_changes update_registry(relay_state& node, document_update update,
                                        const state::list_confirmation& confirmation) {
    const auto now = boot_now();
    if (update == document_update::confirmed) {
        return state::confirm_list(node.registry, confirmation, now, {});
    }
    const auto list = node.platform.decode_upstreams(*document_of(node, document_kind::registry).content);
    return update == document_update::changed
               ? state::apply_list(node.registry, list, confirmation, now, {})
               : state::refresh_list(node.registry, list, confirmation, now, {});
}

void apply(relay_state& node, document_kind kind, document_update update) {
    const auto& document = document_of(node, kind);
    if (kind == document_kind::operator_config) {
        if (update == document_update::changed) {
            apply_routes(node, *document.content);
            apply_evacuations(node, node.platform.decode_evacuations(*document.content));
        }
        const auto& era = document.content->at.era;
        if (update == document_update::changed || node.rollout_era != era) {
            update_rollout_orders(node, node.platform.decode_rollouts(*document.content), era);
        }
        return;
    }
    const bool had_list = node.registry.confirmed_at != core::steady_time::min();
    const auto changes = update_registry(
        node, update, {document.content->at.era, document.confirmed_at, document.content->at.revision});
    log_registry_changes(node, changes);
    drop_upstream_state(node, changes);
    apply_registered_cold_times(node);
    if (had_list) {
        begin_paces(node, changes);
    }
}

void update_readiness(relay_state& node) {
    if (is_ready(node) && node.peers->own_state() == state::member_state::joining) {
        node.peers->set_state(state::member_state::serving);
        node.log.state("ready", {{"config", node.routes->version}});
        node.peers->announce();
    }
}

// One line for each content that comes into force or is turned down. Confirmations of the content that is in
// force are left out, since each node receives several a second.
void log_adoption(relay_state& node, document_kind kind, const state::document_content& content,
                  const std::string& source, const std::optional<state::document_content>& previous,
                  bool changed) {
    const bool ignored = previous && content.at < previous->at && content.hash != previous->hash;
    if (!changed && !ignored) {
        return;
    }
    node.log.state(changed ? "document_in_force" : "document_ignored",
                   {{"document", name_of(kind)},
                    {"source", source},
                    {"at", state::pack_position(content.at)},
                    {"hash", content.hash},
                    {"known_at", previous ? state::pack_position(previous->at) : 0},
                    {"known_hash", previous ? previous->hash : 0}});
}

// The version of the configuration in force, if the store has an older one or none.
std::optional<std::uint64_t> kept_version(const std::optional<state::document_content>& content) {
    if (content) {
        for (const auto& item : content->items) {
            if (item.kept && item.version) {
                return item.version;
            }
        }
    }
    return std::nullopt;
}

void log_kept_version(relay_state& node, std::optional<std::uint64_t> before,
                      std::optional<std::uint64_t> version) {
    if (before == version) {
        return;
    }
    if (version) {
        node.log.state("configuration_kept", {{"version", *version}});
    } else {
        node.log.state("configuration_regained", {{"version", *before}});
    }
}

// Adopts content with one of the functions that compare it with the known one.
template <class Adopt>
void adopt(relay_state& node, document_kind kind, const state::document_content& content,
           const std::string& source, const Adopt& adopt_into) {
    auto& document = document_of(node, kind);
    std::optional<state::document_content> previous;
    if (document.content) {
        previous = state::document_content{{}, document.content->at, document.content->hash};
    }
    const auto kept_before = kept_version(document.content);
    const bool changed = adopt_into(document);
    log_adoption(node, kind, content, source, previous, changed);
    log_kept_version(node, kept_before, kept_version(document.content));
    apply(node, kind, changed ? document_update::changed : document_update::same_hash);
    update_readiness(node);
}

store_result<state::document_content> read_from_store(relay_state& node, document_kind kind,
                                                      const boost::asio::yield_context& yield) {
    return kind == document_kind::operator_config ? node.platform.read_operator_config(yield)
                                                  : node.platform.read_registry(yield);
}

const state::read_schedule& schedule_of(document_kind kind) {
    return kind == document_kind::operator_config ? config_schedule : registry_schedule;
}

// A confirmation reaches distant cells over several links, so it must not wait for the next heartbeat on
// each.
void forward_confirmation(relay_state& node, document_kind kind) {
    auto& last_forwarded = node.last_forwarded.at(static_cast<std::size_t>(kind));
    const auto& document = document_of(node, kind);
    if (document.confirmed_at - last_forwarded >= min_forward_advance) {
        last_forwarded = document.confirmed_at;
        node.peers->forward_updates();
    }
}

// Returns whether the peer sent its document.
bool fetch_from_peer(relay_state& node, document_kind kind, const std::string& address,
                     const boost::asio::yield_context& yield) {
    adapters::http_call call;
    call.address = address;
    call.target = document_path(kind);
    call.timeout = peer_fetch_timeout;
    const auto started = boot_now();
    const auto reply = node.peer_client.fetch(call, yield);
    auto received = reply && reply->status == 200 ? decode_document(reply->body) : std::nullopt;
    if (!received) {
        node.log.state("peer_document_failed", {{"document", name_of(kind)},
                                                {"peer", address},
                                                {"cause", reply ? "status " + std::to_string(reply->status)
                                                                : reply.error().message}});
        return false;
    }
    auto& content = received->content;
    if (kind == document_kind::operator_config) {
        node.platform.complete_operator_config(content);
    }
    record_position(*node.platform.store, content.at);
    // The peer replied after the call started, so its confirmation is no older than its age before that time.
    adopt(node, kind, content, address, [&](state::shared_document& document) {
        const bool changed = state::adopt_content(document, content, started - received->ages.confirmed,
                                                  started - received->ages.current);
        state::refresh_items(document, content);
        return changed;
    });
    if (kind == document_kind::registry) {
        const auto changes =
            state::merge_held_entries(node.registry, received->held_back, content.at.era, boot_now());
        log_registry_changes(node, changes);
        drop_upstream_state(node, changes);
    }
    // In a fleet of one cell the node that read the document has already informed all others.
    if (node.peers->layout().cells > 1) {
        node.peers->announce();
    }
    return true;
}

} // namespace

void fetch_first_document(relay_state& node, document_kind kind, std::vector<std::string> addresses,
                          const boost::asio::yield_context& yield) {
    addresses.erase(std::remove(addresses.begin(), addresses.end(), node.settings.listen.peers),
                    addresses.end());
    std::shuffle(addresses.begin(), addresses.end(), node.random);
    addresses.resize(std::min(addresses.size(), max_first_fetches));
    const auto open = std::make_shared<std::size_t>(addresses.size());
    for (const auto& address : addresses) {
        boost::asio::spawn(
            node.context,
            [&node, kind, address, open](const boost::asio::yield_context& fetch_yield) {
                fetch_from_peer(node, kind, address, fetch_yield);
                --*open;
            },
            boost::asio::detached);
    }
    const auto end = boot_now() + peer_fetch_timeout;
    while (*open > 0 && !document_of(node, kind).content && boot_now() < end && !node.stopped) {
        adapters::sleep_for(first_fetch_poll, yield);
    }
}

std::string document_path(document_kind kind) {
    return std::string("/documents/") + name_of(kind);
}

state::document_claim own_claim(const relay_state& node, document_kind kind) {
    const auto& document = node.documents.at(static_cast<std::size_t>(kind));
    if (!document.content) {
        return {};
    }
    const auto age = std::chrono::ceil<core::milliseconds>(boot_now() - document.confirmed_at);
    return {document.content->at, document.content->hash, age};
}

void handle_store_return(relay_state& node, const state::store_position& previous) {
    const auto& known = node.platform.store->known;
    node.store_returned_at = boot_now();
    for (auto& document : node.documents) {
        state::begin_grace(document, node.store_returned_at, state::registry_timeouts{}.reregistration_grace);
    }
    node.metrics.add("relay_store_returns_total", {});
    node.log.state("store_returned", {{"previous", position_json(previous)}, {"at", position_json(known)}});
}

void run_document_loop(relay_state& node, document_kind kind, const boost::asio::yield_context& yield) {
    auto retry = min_retry_delay;
    bool failing = false;
    while (!node.stopped) {
        const auto due =
            state::next_read_time(document_of(node, kind), schedule_of(kind), node.peers->rank());
        const auto now = boot_now();
        if (due > now) {
            adapters::sleep_for(std::min<core::nanoseconds>(due - now, max_sleep), yield);
            continue;
        }
        auto content = read_from_store(node, kind, yield);
        node.metrics.add("relay_store_reads_total",
                         {{"document", name_of(kind)}, {"outcome", content ? "read" : "failed"}});
        if (content) {
            if (failing) {
                node.log.state("store_regained",
                               {{"document", name_of(kind)}, {"at", state::pack_position(content->at)}});
            }
            failing = false;
            retry = min_retry_delay;
            adopt(node, kind, *content, "store", [&](state::shared_document& document) {
                return state::adopt_read(document, *content, now);
            });
            node.peers->announce();
            continue;
        }
        if (!failing) {
            node.log.state("store_lost", {{"document", name_of(kind)}, {"cause", content.error().message}});
        }
        failing = true;
        const auto jitter = core::milliseconds(std::int64_t(double(retry.count()) * 0.5 * draw(node)));
        adapters::sleep_for(retry + jitter, yield);
        retry = std::min(retry * 2, max_retry_delay);
    }
}

void handle_claim(relay_state& node, document_kind kind, const state::document_claim& claim,
                  const state::clock_echo& echo, const state::member_entry& peer) {
    auto& document = document_of(node, kind);
    const auto verdict = state::merge_claim(document, claim, echo, boot_now());
    if (verdict == state::claim_verdict::confirmed) {
        record_position(*node.platform.store, document.content->at);
        apply(node, kind, document_update::confirmed);
        forward_confirmation(node, kind);
    }
    auto& fetching = node.fetching.at(static_cast<std::size_t>(kind));
    const bool refresh = kind == document_kind::registry &&
                         ((verdict == state::claim_verdict::confirmed &&
                           state::needs_refresh(node.registry, boot_now(), {})) ||
                          (document.content && claim.hash == document.content->hash &&
                           state::needs_comparison(node.registry, claim.at.era, boot_now(), {})));
    if ((verdict != state::claim_verdict::newer && !refresh) || fetching) {
        return;
    }
    fetching = true;
    boost::asio::spawn(
        node.context,
        [&node, kind, address = peer.mesh_address,
         hash = claim.hash](const boost::asio::yield_context& yield) {
            if (fetch_from_peer(node, kind, address, yield)) {
                state::record_compared(document_of(node, kind), hash);
            }
            node.fetching.at(static_cast<std::size_t>(kind)) = false;
        },
        boost::asio::detached);
}

} // namespace figspoke::relay
