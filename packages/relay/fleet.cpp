#include "relay/fleet.h"

#include <algorithm>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "core/erase_where.h"
#include "relay/boot_clock.h"
#include "relay/limit_message.h"
#include "relay/pace_message.h"
#include "state/entry_choice.h"

namespace figspoke::relay {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::microseconds;

// Failed members and seeds that never answered are contacted once in this many rounds, at most as many of
// them at a time as a fleet of one cell has members.
constexpr std::uint64_t contact_every = 4;
constexpr std::size_t max_contacted = 24;
// Links to other cells carry a heartbeat once in this many rounds; updates are forwarded immediately.
constexpr std::uint64_t link_every = 2;
// Rounds between repetitions of old records, and rounds between repetitions of other nodes' roll-out reports
// to cell peers.
constexpr std::uint64_t old_records_every = 4;
constexpr std::uint64_t cell_peer_reports_every = 16;
// Rounds in which a changed member is sent in full, and the number of unchanged members sent in addition.
constexpr std::size_t full_entry_rounds = 10;
constexpr std::size_t repeated_members_per_round = 2;
// Members in full that fit into one datagram.
constexpr std::size_t max_full_members = 400;
// Size of the receive buffer; longer datagrams are truncated.
constexpr std::size_t max_datagram_bytes = 60U * 1024;
// A member that was silent for longer has ended, or the partition that hides it lasts.
constexpr core::milliseconds max_partition{30000};
// Delay after a failed receive, so that a broken socket doesn't cause a busy loop.
constexpr core::milliseconds receive_pause{50};

std::int64_t to_stamp(core::steady_time time) {
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

core::steady_time from_stamp(std::int64_t stamp) {
    return core::steady_time(microseconds(stamp));
}

// Heartbeats use UDP on the port number of the document server.
udp::endpoint datagram_endpoint(const std::string& address) {
    const auto endpoint = adapters::parse_endpoint(address);
    return endpoint ? udp::endpoint(endpoint->address(), endpoint->port()) : udp::endpoint();
}

state::member_entry own_entry(const fleet_settings& settings) {
    state::member_entry entry;
    entry.id = settings.node_id;
    entry.http_address = settings.callers_address;
    entry.mesh_address = settings.peers_address;
    entry.failure_domain = settings.failure_domain;
    entry.incarnation = std::uint64_t(unix_time().count());
    return entry;
}

} // namespace

const state::health_timeouts fleet_timeouts{core::milliseconds(1100), core::milliseconds(5000),
                                            core::milliseconds(600000)};

fleet::fleet(asio::io_context& context, fleet_settings settings, fleet_hooks hooks)
    : context_(context), settings_(std::move(settings)), hooks_(std::move(hooks)), socket_(context),
      members_(state::make_membership(own_entry(settings_), boot_now())),
      seeds_(settings_.seed_addresses.begin(), settings_.seed_addresses.end()), recent_stamps_{0} {}

void fleet::start() {
    const auto own = datagram_endpoint(settings_.peers_address);
    socket_.open(own.protocol());
    socket_.bind(own);
    asio::spawn(
        context_, [this](const asio::yield_context& yield) { receive_loop(yield); }, asio::detached);
    asio::spawn(
        context_, [this](const asio::yield_context& yield) { send_loop(yield); }, asio::detached);
}

void fleet::stop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void fleet::send_loop(const asio::yield_context& yield) {
    while (socket_.is_open()) {
        const auto now = boot_now();
        state::advance_heartbeat(members_, now);
        remove_expired_members(now);
        ++rounds_;
        recent_stamps_.push_back(members_.last_stamp);
        if (recent_stamps_.size() > full_entry_rounds) {
            recent_stamps_.pop_front();
        }
        update_layout(now);
        send_to(cell_targets());
        if (rounds_ % link_every == 0) {
            send_to(link_targets(heartbeat_scope::link));
        }
        if (rounds_ % contact_every == 1) {
            send_to(contact_targets());
        }
        adapters::sleep_for(heartbeat_interval, yield);
    }
}

void fleet::remove_expired_members(core::steady_time now) {
    // Tags go before the records that they refer to.
    core::erase_where(members_by_tag_, [&](const tagged_member& member, std::uint32_t) {
        return member.record->entry.incarnation != member.incarnation ||
               state::is_forgotten(members_, *member.record, timeouts(), now);
    });
    state::prune(members_, timeouts(), now);
}

void fleet::announce() {
    state::advance_heartbeat(members_, boot_now());
    update_layout(boot_now());
    send_to(cell_targets());
    forward_updates();
}

void fleet::forward_updates() {
    send_to(link_targets(heartbeat_scope::updates));
}

// Only serving members aggregate load: when one stops, its successor receives the reports of all requests
// before it has left.
void fleet::update_live_members(core::steady_time now) {
    std::vector<std::string> live;
    std::vector<std::string> sending;
    std::vector<std::string> steady;
    live_count_ = 0;
    const auto limits = timeouts();
    for (const auto& [id, member] : members_.members) {
        const bool alive = state::health_of(members_, member, limits, now) == state::member_health::alive;
        live_count_ += alive && member.entry.state != state::member_state::left ? 1 : 0;
        if (alive && member.entry.state == state::member_state::serving) {
            live.push_back(id);
        }
        if (id == members_.self ||
            (now - member.last_advanced < max_partition && member.entry.state != state::member_state::left)) {
            steady.push_back(id);
        }
        if (id == members_.self || (alive && (member.entry.state == state::member_state::serving ||
                                              member.entry.state == state::member_state::leaving))) {
            sending.push_back(id);
        }
    }
    if (sending != sender_place_.nodes) {
        sender_place_ = {members_.self, std::move(sending), sender_place_.version + 1};
    }
    if (steady != steady_place_.nodes) {
        steady_place_ = {members_.self, std::move(steady), steady_place_.version + 1};
    }
    if (live != live_ids_) {
        live_ids_ = std::move(live);
        aggregators_.clear();
    }
}

aggregator_place fleet::aggregator_of(const std::string& upstream) {
    auto found = aggregators_.find(upstream);
    if (found == aggregators_.end()) {
        found = aggregators_.emplace(upstream, policy::aggregator_of(upstream, live_ids_)).first;
    }
    const auto member = members_.members.find(found->second);
    if (found->second == members_.self || member == members_.members.end()) {
        return {members_.self, std::string()};
    }
    return {found->second, member->second.entry.mesh_address};
}

void fleet::broadcast(const std::string& bytes) {
    for (const auto& targets : {cell_targets(), link_targets(heartbeat_scope::updates)}) {
        for (const auto& to : targets) {
            send_bytes(to.address, bytes);
        }
    }
}

void fleet::send_bytes(const std::string& address, const std::string& bytes) {
    boost::system::error_code code;
    socket_.send_to(asio::buffer(bytes), datagram_endpoint(address), 0, code);
    // A datagram that can't be sent is treated as lost.
}

void fleet::update_layout(core::steady_time now) {
    update_live_members(now);
    const auto cells = layout_.cells;
    layout_ = state::plan_layout(members_, timeouts(), now, {});
    if (layout_.cells != cells) {
        hooks_.on_cells_changed(layout_.cells);
    }
}

core::milliseconds fleet::propagation_time() const {
    if (layout_.cells == 1) {
        return core::milliseconds(0);
    }
    return heartbeat_interval + link_every * heartbeat_interval * int(state::max_cell_hops(layout_.cells));
}

state::health_timeouts fleet::timeouts() const {
    auto times = fleet_timeouts;
    times.suspect += propagation_time();
    return times;
}

std::vector<fleet::target> fleet::cell_targets() const {
    std::vector<target> found;
    for (const auto& id : layout_.cell_peers) {
        found.push_back({members_.members.at(id).entry.mesh_address, id, heartbeat_scope::cell});
    }
    if (layout_.cells > 1 && !found.empty()) {
        found.at(rounds_ % found.size()).scope = heartbeat_scope::cell_and_compact_members;
    }
    return found;
}

std::vector<fleet::target> fleet::link_targets(heartbeat_scope scope) const {
    std::vector<target> found;
    for (const auto& id : layout_.links) {
        found.push_back({members_.members.at(id).entry.mesh_address, id, scope});
    }
    return found;
}

// Failed members may have restarted or be reachable again after a network partition, and seeds may have
// started later than this node.
std::vector<fleet::target> fleet::contact_targets() const {
    std::vector<target> found;
    std::set<std::string> known = {settings_.peers_address};
    const auto now = boot_now();
    for (const auto& [id, member] : members_.members) {
        known.insert(member.entry.mesh_address);
        const auto health = state::health_of(members_, member, timeouts(), now);
        if (id != members_.self &&
            (health == state::member_health::failed || member.entry.state == state::member_state::left)) {
            found.push_back({member.entry.mesh_address, id, heartbeat_scope::link});
        }
    }
    for (const auto& seed : seeds_) {
        if (known.count(seed) == 0) {
            found.push_back({seed, std::string(), heartbeat_scope::link});
        }
    }
    if (found.size() > max_contacted) {
        const auto first_in_turn = std::ptrdiff_t(rounds_ / contact_every * max_contacted % found.size());
        std::rotate(found.begin(), found.begin() + first_in_turn, found.end());
        found.resize(max_contacted);
    }
    return found;
}

heartbeat_message fleet::make_heartbeat(const std::string& peer_id, heartbeat_scope scope) const {
    const auto now = boot_now();
    heartbeat_message message;
    message.sender = state::self_entry(members_);
    message.stamp = to_stamp(now);
    if (const auto found = peers_.find(peer_id); found != peers_.end()) {
        message.echoed_stamp = found->second.last_stamp;
        message.echo_held = std::chrono::duration_cast<microseconds>(now - found->second.stamp_at);
    }
    // The local state is read for each peer after the echo: if the VM paused after the age of a confirmation
    // was read and before the echo was, the confirmation would look younger than it is.
    hooks_.add_local_state(message);
    if (layout_.cells == 1 || scope == heartbeat_scope::introduction) {
        add_members(message, peer_id, true, now);
        return message;
    }
    filter_heartbeat(message, repetition_in(scope));
    if (scope != heartbeat_scope::cell) {
        add_members(message, peer_id, false, now);
        add_compact_members(message, peer_id, scope, now);
    }
    return message;
}

// Reports of other cells arrive over links. Cell peers repeat them only in case a link is missing.
heartbeat_repetition fleet::repetition_in(heartbeat_scope scope) const {
    const bool old_records = rounds_ % old_records_every == 0;
    switch (scope) {
    case heartbeat_scope::link:
        return {true, old_records};
    case heartbeat_scope::updates:
        return {false, false};
    default:
        return {rounds_ % cell_peer_reports_every == 0, old_records};
    }
}

// Recently changed members are sent in full, and a few others in turn in case an update was lost.
void fleet::add_members(heartbeat_message& message, const std::string& peer_id, bool all,
                        core::steady_time now) const {
    std::size_t position = 0;
    const auto first_in_turn = rounds_ * repeated_members_per_round % members_.members.size();
    for (const auto& [id, member] : members_.members) {
        const bool changed = member.content_stamp > recent_stamps_.front();
        const bool in_turn =
            position >= first_in_turn && position < first_in_turn + repeated_members_per_round;
        ++position;
        const auto health = state::health_of(members_, member, timeouts(), now);
        if ((all || changed || in_turn) && id != members_.self && id != peer_id &&
            health != state::member_health::failed && message.members.size() < max_full_members) {
            message.members.push_back({member.entry, core::to_ms(now - member.last_advanced)});
        }
    }
}

// Updates are sent whenever a document is confirmed, more often than heartbeats over links. They leave out
// the members that serve, which the next heartbeat brings; a member that stops must leave the directories at
// once.
void fleet::add_compact_members(heartbeat_message& message, const std::string& peer_id, heartbeat_scope scope,
                                core::steady_time now) const {
    const auto limits = timeouts();
    message.compact_members.reserve(members_by_tag_.size());
    for (const auto& [tag, tagged] : members_by_tag_) {
        const auto& member = *tagged.record;
        const bool is_wanted =
            scope != heartbeat_scope::updates || member.entry.state != state::member_state::serving;
        if (is_wanted && member.entry.incarnation == tagged.incarnation && member.entry.id != peer_id &&
            state::health_of(members_, member, limits, now) != state::member_health::failed) {
            message.compact_members.push_back(
                {tag, member.entry.heartbeat, member.entry.state, core::to_ms(now - member.last_advanced)});
        }
    }
}

void fleet::send_to(const target& to) {
    send_bytes(to.address, encode_heartbeat(make_heartbeat(to.id, to.scope)));
}

void fleet::send_to(const std::vector<target>& all) {
    for (const auto& to : all) {
        send_to(to);
    }
}

void fleet::merge_member(const state::member_entry& entry, core::milliseconds silence,
                         core::steady_time now) {
    if (state::merge_entry(members_, entry, silence, now) && entry.id != members_.self) {
        members_by_tag_[member_tag(entry.id, entry.incarnation)] = {&members_.members.at(entry.id),
                                                                    entry.incarnation};
    }
}

void fleet::receive_loop(const asio::yield_context& yield) {
    std::string bytes(max_datagram_bytes, '\0');
    while (socket_.is_open()) {
        udp::endpoint from;
        boost::system::error_code code;
        const auto size = socket_.async_receive_from(asio::buffer(bytes), from, yield[code]);
        if (code == asio::error::operation_aborted) {
            return;
        }
        if (code) {
            adapters::sleep_for(receive_pause, yield);
            continue;
        }
        const auto received = std::string_view(bytes).substr(0, size);
        if (is_load_message(received)) {
            hooks_.on_load_message(received, from.address().to_string() + ':' + std::to_string(from.port()));
        } else if (is_limit_message(received)) {
            hooks_.on_limit_message(received);
        } else if (is_pace_message(received)) {
            hooks_.on_pace_message(received);
        } else if (const auto message = decode_heartbeat(received)) {
            receive(*message);
        }
    }
}

void fleet::receive(const heartbeat_message& message) {
    const auto now = boot_now();
    if (message.sender.id.empty() || message.sender.id == members_.self) {
        state::merge_entry(members_, message.sender, core::milliseconds(0), now);
        return;
    }
    merge_member(message.sender, core::milliseconds(0), now);
    for (const auto& member : message.members) {
        merge_member(member.entry, member.silence, now);
    }
    for (const auto& compact : message.compact_members) {
        if (const auto found = members_by_tag_.find(compact.tag); found != members_by_tag_.end()) {
            state::merge_heartbeat(
                *found->second.record,
                {found->second.incarnation, compact.heartbeat, compact.state, compact.silence}, now);
        }
    }
    record_peer(message, now);
    if (message.echoed_stamp && from_stamp(*message.echoed_stamp) <= now) {
        const state::clock_echo echo{from_stamp(*message.echoed_stamp), core::to_ms(message.echo_held)};
        for (std::size_t i = 0; i < document_count; ++i) {
            hooks_.on_claim(static_cast<document_kind>(i), message.documents.at(i), echo, message.sender);
        }
    }
    hooks_.on_crashes(message.crashes);
    hooks_.on_rollouts(message.rollouts);
    hooks_.on_trials(message.trials);
    hooks_.on_sessions(message.sessions);
    hooks_.on_heartbeat();
}

void fleet::record_peer(const heartbeat_message& message, core::steady_time now) {
    auto& known_peer = peers_[message.sender.id];
    if (message.sender.incarnation < known_peer.incarnation) {
        return;
    }
    // A process that has just started knows no members, even if its node was known before.
    const bool known_process = message.sender.incarnation == known_peer.incarnation;
    known_peer.incarnation = message.sender.incarnation;
    known_peer.last_stamp = message.stamp;
    known_peer.stamp_at = now;
    known_peer.received_at = now;
    known_peer.uses = message.uses;
    if (!known_process) {
        send_to({message.sender.mesh_address, message.sender.id, heartbeat_scope::introduction});
    }
}

void fleet::set_state(state::member_state value) {
    state::self_update update;
    update.state = value;
    state::update_self(members_, update, boot_now());
}

state::member_state fleet::own_state() const {
    return state::self_entry(members_).state;
}

std::uint64_t fleet::incarnation() const {
    return state::self_entry(members_).incarnation;
}

void fleet::add_seeds(const std::vector<std::string>& peers_addresses) {
    seeds_.insert(peers_addresses.begin(), peers_addresses.end());
}

std::vector<std::string> fleet::caller_addresses(const std::string& caller, std::size_t count,
                                                 bool include_self) const {
    auto serving = state::serving_members(members_, timeouts(), boot_now());
    if (!include_self && serving.size() > 1) {
        serving.erase(std::remove_if(serving.begin(), serving.end(),
                                     [this](const auto* entry) { return entry->id == members_.self; }),
                      serving.end());
    }
    return state::choose_entry_addresses(state::members_near(serving, settings_.regions, caller), caller,
                                         count);
}

std::size_t fleet::rank() const {
    const auto now = boot_now();
    std::size_t before = 0;
    for (const auto& [id, member] : members_.members) {
        if (id == members_.self) {
            break;
        }
        const bool live =
            state::health_of(members_, member, timeouts(), now) == state::member_health::alive &&
            member.entry.state != state::member_state::left;
        before += live ? 1 : 0;
    }
    return before;
}

upstream_use fleet::peer_use(const std::string& upstream) const {
    const auto oldest = boot_now() - fleet_timeouts.suspect;
    upstream_use total;
    for (const auto& [id, known_peer] : peers_) {
        if (known_peer.received_at < oldest) {
            continue;
        }
        if (const auto found = known_peer.uses.find(upstream); found != known_peer.uses.end()) {
            add_use(total, found->second);
        }
    }
    return total;
}

} // namespace figspoke::relay
