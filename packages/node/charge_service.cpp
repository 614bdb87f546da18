#include "node/charge_service.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

#include "adapters/await.h"
#include "node/journal_routing.h"
#include "node/node_state.h"
#include "state/entry_codec.h"
#include "state/journal_key.h"

namespace figspoke::node {
namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

// Longer waits for a copy would delay the end of every answer while a peer is slow.
constexpr std::chrono::milliseconds copy_timeout{250};
constexpr std::size_t charges_per_send = 200;
constexpr std::size_t copies_per_send = 1000;
// Copies are sent until they are recorded. Without a pause the same ones would fill a shard's waiting list
// during an outage and displace new claims.
constexpr std::chrono::milliseconds copy_repeat{1000};

std::uint32_t shard_count(const node_state& node) {
    return static_cast<std::uint32_t>(node.settings.journal.shards);
}

// Prefers a peer in another failure domain; each charge's own id spreads the copies over the peers.
std::optional<state::member_entry> choose_copy_holder(node_state& node, const std::string& charge_id) {
    const auto members = serving_members(node.nodes, clock::now());
    std::map<std::string, state::member_entry> far;
    std::map<std::string, state::member_entry> near;
    for (const auto& member : *members) {
        if (member.id != node.settings.node.id) {
            const bool same_domain = member.failure_domain == node.settings.node.failure_domain;
            (same_domain ? near : far).emplace(member.id, member);
        }
    }
    const auto& pool = far.empty() ? near : far;
    std::vector<std::string> ids;
    ids.reserve(pool.size());
    for (const auto& [id, member] : pool) {
        ids.push_back(id);
    }
    if (ids.empty()) {
        return std::nullopt;
    }
    return pool.at(core::rendezvous_order(charge_id, ids).front());
}

std::string encode_copy(std::uint32_t shard, const state::charge& value) {
    return json{{"shard", shard}, {"charge", state::encode_entry(value)}}.dump();
}

// Needs the lock of the charges.
void note_copy_drop(charge_service& charges, std::uint32_t shard, std::uint64_t sequence) {
    const auto found = charges.copy_holders.find({shard, sequence});
    if (found == charges.copy_holders.end()) {
        return;
    }
    auto& drops = charges.drops[found->second.id];
    drops.peer = found->second;
    drops.recorded.emplace_back(shard, sequence);
    charges.copy_holders.erase(found);
}

// A lost drop leaves the copy with the peer until this node ends; the peer then books it as a duplicate.
void send_copy_drops(node_state& node) {
    std::map<std::string, copy_drops> drops;
    {
        const std::lock_guard lock(node.charges.mutex);
        drops.swap(node.charges.drops);
    }
    for (const auto& [id, drop] : drops) {
        const json body = {{"writer", node.incarnation}, {"recorded", drop.recorded}};
        node.nodes.mesh->call(drop.peer, "charge_drop", body.dump(), copy_timeout,
                              [](const adapters::mesh_result&) {});
    }
}

void send_charge(node_state& node, std::uint32_t shard, const state::charge& value) {
    append_at_owner(node, shard, value, [&node, shard, value](const append_outcome& outcome) {
        const bool recorded = outcome.disposition == state::entry_disposition::settled &&
                              (outcome.result.outcome == state::entry_outcome::applied ||
                               outcome.result.outcome == state::entry_outcome::duplicate);
        if (!recorded) {
            return;
        }
        const std::lock_guard lock(node.charges.mutex);
        if (value.writer == node.charges.held.writer) {
            state::settle_charge(node.charges.held, shard, value.sequence);
            note_copy_drop(node.charges, shard, value.sequence);
        } else {
            state::drop_copy(node.charges.copies, value.writer, shard, value.sequence);
        }
    });
}

std::vector<state::charge_copy> take_due(node_state& node) {
    std::vector<state::charge_copy> due;
    // A node that is being stopped records all copies: it can't wait until their writers have ended.
    const bool stopping = node.refuses_new_work.load();
    const auto is_gone = [&](std::string_view incarnation) {
        return stopping || is_incarnation_gone(node.nodes, incarnation, clock::now());
    };
    const std::lock_guard lock(node.charges.mutex);
    for (std::uint32_t shard = 0; shard < shard_count(node); ++shard) {
        for (auto& value : state::charges_to_send(node.charges.held, shard, charges_per_send, clock::now())) {
            due.push_back({shard, std::move(value)});
        }
    }
    if (clock::now() < node.charges.copies_due) {
        return due;
    }
    for (auto& copy : state::copies_to_send(node.charges.copies, is_gone, copies_per_send)) {
        due.push_back(std::move(copy));
        node.charges.copies_due = clock::now() + copy_repeat;
    }
    return due;
}

} // namespace

charge_reservation::~charge_reservation() {
    if (charges_ != nullptr) {
        const std::lock_guard lock(charges_->mutex);
        state::release_reservation(charges_->held);
    }
}

charge_reservation::charge_reservation(charge_reservation&& other) noexcept
    : charges_(std::exchange(other.charges_, nullptr)) {}

core::result<charge_reservation> reserve_charge(charge_service& charges) {
    const std::lock_guard lock(charges.mutex);
    if (auto reserved = state::reserve_charge(charges.held); !reserved) {
        return tl::make_unexpected(reserved.error());
    }
    return charge_reservation(charges);
}

void book_charge(node_state& node, charge_reservation reservation, state::charge value,
                 const boost::asio::yield_context& yield) {
    const std::uint32_t shard =
        state::shard_of(value.key_id.empty() ? value.id : value.key_id, shard_count(node));
    {
        const std::lock_guard lock(node.charges.mutex);
        value = state::add_charge(node.charges.held, shard, std::move(value));
    }
    reservation.use();
    const auto holder = choose_copy_holder(node, value.id);
    if (!holder) {
        return;
    }
    const bool kept = adapters::await_value<bool>(yield, [&](const std::function<void(bool)>& done) {
        node.nodes.mesh->call({holder->id, holder->mesh_address}, "charge_copy", encode_copy(shard, value),
                              copy_timeout,
                              [done](const adapters::mesh_result& answer) { done(answer.has_value()); });
    });
    if (kept) {
        const std::lock_guard lock(node.charges.mutex);
        node.charges.copy_holders[{shard, value.sequence}] = {holder->id, holder->mesh_address};
    }
    node.metrics.add("figspoke_charge_copies_total", {{"result", kept ? "kept" : "failed"}});
}

bool keep_charge_copy(node_state& node, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    const auto entry = state::decode_entry(adapters::value_or(parsed, "charge", std::string()));
    const auto* value = entry ? std::get_if<state::charge>(&*entry) : nullptr;
    if (value == nullptr) {
        return false;
    }
    const std::lock_guard lock(node.charges.mutex);
    return state::keep_copy(node.charges.copies,
                            {adapters::value_or(parsed, "shard", std::uint32_t{0}), *value});
}

void drop_charge_copies(node_state& node, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("recorded") || !parsed["recorded"].is_array()) {
        return;
    }
    const std::string writer = adapters::value_or(parsed, "writer", std::string());
    const std::lock_guard lock(node.charges.mutex);
    for (const auto& item : parsed["recorded"]) {
        if (item.is_array() && item.size() == 2 && item[0].is_number() && item[1].is_number()) {
            state::drop_copy(node.charges.copies, writer, item[0].get<std::uint32_t>(),
                             item[1].get<std::uint64_t>());
        }
    }
}

void send_due_charges(node_state& node) {
    send_copy_drops(node);
    for (const auto& due : take_due(node)) {
        send_charge(node, due.shard, due.value);
    }
}

} // namespace figspoke::node
