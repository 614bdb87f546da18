#include "relay/fleet.h"

#include <algorithm>

#include "adapters/await.h"
#include "adapters/endpoint.h"
#include "relay/boot_clock.h"
#include "state/entry_choice.h"

namespace figspoke::relay {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::microseconds;

constexpr core::milliseconds beat_interval{250};
// Members that fell silent and seeds that never answered are greeted once in this many rounds.
constexpr std::uint64_t greet_every = 4;
// The largest datagram; peers read no more.
constexpr std::size_t max_datagram_bytes = 60U * 1024;
// Pause after a failed receive, so that a broken socket doesn't spin.
constexpr core::milliseconds receive_pause{50};

std::int64_t to_stamp(core::steady_time time) {
    return std::chrono::duration_cast<microseconds>(time.time_since_epoch()).count();
}

core::steady_time from_stamp(std::int64_t stamp) {
    return core::steady_time(microseconds(stamp));
}

// The port of the beats is that of the documents' server, on UDP.
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
      seeds_(settings_.seed_addresses.begin(), settings_.seed_addresses.end()) {}

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
        state::beat(members_, now);
        state::prune(members_, fleet_timeouts, now);
        ++rounds_;
        for (const auto& [address, id] : targets(rounds_ % greet_every == 1)) {
            send_to(address, id);
        }
        adapters::sleep_for(beat_interval, yield);
    }
}

void fleet::announce() {
    state::beat(members_, boot_now());
    for (const auto& [address, id] : targets(false)) {
        send_to(address, id);
    }
}

std::vector<std::pair<std::string, std::string>> fleet::targets(bool all) const {
    std::vector<std::pair<std::string, std::string>> found;
    std::set<std::string> known = {settings_.peers_address};
    const auto now = boot_now();
    for (const auto& [id, member] : members_.members) {
        if (id == members_.self) {
            continue;
        }
        known.insert(member.entry.mesh_address);
        const auto health = state::health_of(members_, member, fleet_timeouts, now);
        if (all || health != state::member_health::failed) {
            found.emplace_back(member.entry.mesh_address, id);
        }
    }
    for (const auto& seed : seeds_) {
        if (all && known.count(seed) == 0) {
            found.emplace_back(seed, std::string());
        }
    }
    return found;
}

beat fleet::make_beat(const std::string& peer_id) const {
    const auto now = boot_now();
    beat message;
    message.sender = state::self_entry(members_);
    message.stamp = to_stamp(now);
    if (const auto found = peers_.find(peer_id); found != peers_.end()) {
        message.echoed_stamp = found->second.last_stamp;
        message.echo_held = std::chrono::duration_cast<microseconds>(now - found->second.stamp_at);
    }
    // Described for each peer after its echo was taken: an age that was read before a pause of the VM, beside
    // an echo that was read after it, would make a confirmation look younger than it is.
    hooks_.describe(message);
    for (const auto& [id, member] : members_.members) {
        const auto health = state::health_of(members_, member, fleet_timeouts, now);
        if (id != members_.self && id != peer_id && health != state::member_health::failed) {
            message.members.push_back({member.entry, core::to_ms(now - member.last_advanced)});
        }
    }
    return message;
}

void fleet::send_to(const std::string& address, const std::string& peer_id) {
    const auto bytes = encode_beat(make_beat(peer_id));
    boost::system::error_code code;
    socket_.send_to(asio::buffer(bytes), datagram_endpoint(address), 0, code);
    // A datagram that can't be sent is like a lost one.
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
        if (const auto message = decode_beat(std::string_view(bytes).substr(0, size))) {
            receive(*message);
        }
    }
}

void fleet::receive(const beat& message) {
    const auto now = boot_now();
    if (message.sender.id.empty() || message.sender.id == members_.self) {
        state::merge_entry(members_, message.sender, core::milliseconds(0), now);
        return;
    }
    state::merge_entry(members_, message.sender, core::milliseconds(0), now);
    for (const auto& member : message.members) {
        state::merge_entry(members_, member.entry, member.silence, now);
    }
    note_peer(message, now);
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
    hooks_.on_beat();
}

void fleet::note_peer(const beat& message, core::steady_time now) {
    const bool known = peers_.count(message.sender.id) > 0;
    auto& one = peers_[message.sender.id];
    if (known && message.sender.incarnation < one.incarnation) {
        return;
    }
    one.incarnation = message.sender.incarnation;
    one.last_stamp = message.stamp;
    one.stamp_at = now;
    one.heard_at = now;
    one.uses = message.uses;
    if (!known) {
        send_to(message.sender.mesh_address, message.sender.id);
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
    auto serving = state::serving_members(members_, fleet_timeouts, boot_now());
    if (!include_self && serving.size() > 1) {
        serving.erase(std::remove_if(serving.begin(), serving.end(),
                                     [this](const auto* entry) { return entry->id == members_.self; }),
                      serving.end());
    }
    return state::choose_entries(serving, caller, count);
}

std::size_t fleet::rank() const {
    const auto now = boot_now();
    std::size_t before = 0;
    for (const auto& [id, member] : members_.members) {
        if (id == members_.self) {
            break;
        }
        const bool live =
            state::health_of(members_, member, fleet_timeouts, now) == state::member_health::alive &&
            member.entry.state != state::member_state::left;
        before += live ? 1 : 0;
    }
    return before;
}

std::size_t fleet::size() const {
    const auto now = boot_now();
    return std::size_t(std::count_if(members_.members.begin(), members_.members.end(), [&](const auto& one) {
        return state::health_of(members_, one.second, fleet_timeouts, now) == state::member_health::alive &&
               one.second.entry.state != state::member_state::left;
    }));
}

upstream_use fleet::peer_use(const std::string& upstream) const {
    const auto oldest = boot_now() - fleet_timeouts.suspect;
    upstream_use total;
    for (const auto& [id, one] : peers_) {
        if (one.heard_at < oldest) {
            continue;
        }
        if (const auto found = one.uses.find(upstream); found != one.uses.end()) {
            add_use(total, found->second);
        }
    }
    return total;
}

} // namespace figspoke::relay
