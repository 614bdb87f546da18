#include "node/journal_routing.h"

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

#include "adapters/await.h"
#include "node/node_state.h"
#include "state/entry_codec.h"
#include "state/shard_owner.h"

namespace figspoke::node {
namespace {

using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds append_time{1500};
constexpr std::chrono::milliseconds repeat_delay{20};

// A charge waits for its batch first. Without that time an entry would be withdrawn before it was due.
std::chrono::milliseconds append_timeout(const node_state& node) {
    return append_time + node.settings.journal.charge_flush;
}

using member_list = std::shared_ptr<const std::vector<state::member_entry>>;

// When the whole fleet is being stopped, the nodes that are leaving own the shards until their last charge is
// recorded.
member_list possible_owners(node_state& node) {
    const auto now = clock::now();
    auto serving = serving_members(node.nodes, now);
    if (!serving->empty()) {
        return serving;
    }
    auto leaving = std::make_shared<std::vector<state::member_entry>>();
    const std::lock_guard lock(node.nodes.mutex);
    for (const auto& [id, record] : node.nodes.known.members) {
        const auto health = state::health_of(node.nodes.known, record, node.nodes.plan.timeouts, now);
        if (record.entry.state == state::member_state::leaving && health == state::member_health::alive) {
            leaving->insert(leaving->end(), record.entry);
        }
    }
    return leaving;
}

std::vector<const state::member_entry*> pointers_to(const std::vector<state::member_entry>& members) {
    std::vector<const state::member_entry*> pointers;
    pointers.reserve(members.size());
    for (const auto& member : members) {
        pointers.push_back(&member);
    }
    return pointers;
}

std::set<std::uint32_t> choose_owned_shards(const node_state& node,
                                            const std::vector<state::member_entry>& members) {
    const auto pointers = pointers_to(members);
    std::set<std::uint32_t> owned;
    for (std::uint32_t shard = 0; shard < node.journal.shards.size(); ++shard) {
        if (state::choose_shard_owner(shard, pointers) == node.settings.node.id) {
            owned.insert(shard);
        }
    }
    return owned;
}

std::string encode_request(std::uint32_t shard, const state::journal_entry& entry) {
    return json{{"shard", shard}, {"entry", state::encode_entry(entry)}}.dump();
}

std::string encode_outcome(const append_outcome& outcome) {
    return json{{"fate", static_cast<int>(outcome.disposition)},
                {"result", state::encode_apply_result(outcome.result)}}
        .dump();
}

append_outcome unclear_outcome() {
    append_outcome outcome;
    outcome.disposition = state::entry_disposition::unknown;
    return outcome;
}

append_outcome decode_outcome(const std::string& text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object()) {
        return unclear_outcome();
    }
    const auto result = state::decode_apply_result(adapters::value_or(parsed, "result", std::string()));
    const int disposition =
        adapters::value_or(parsed, "fate", static_cast<int>(state::entry_disposition::unknown));
    if (!result || disposition < 0 || disposition > static_cast<int>(state::entry_disposition::unknown)) {
        return unclear_outcome();
    }
    return {static_cast<state::entry_disposition>(disposition), *result};
}

} // namespace

std::optional<state::member_entry> find_shard_owner(node_state& node, std::uint32_t shard) {
    const auto members = possible_owners(node);
    const std::string owner = state::choose_shard_owner(shard, pointers_to(*members));
    for (const auto& member : *members) {
        if (member.id == owner) {
            return member;
        }
    }
    return std::nullopt;
}

void append_at_owner(node_state& node, std::uint32_t shard, state::journal_entry entry,
                     append_callback callback) {
    const auto owner = find_shard_owner(node, shard);
    if (!owner) {
        callback({state::entry_disposition::not_owner, {}});
        return;
    }
    if (owner->id == node.settings.node.id) {
        append_local(node.journal, shard, std::move(entry), append_timeout(node), std::move(callback));
        return;
    }
    node.nodes.mesh->call({owner->id, owner->mesh_address}, "append", encode_request(shard, entry),
                          append_timeout(node),
                          [callback = std::move(callback)](const adapters::mesh_result& answer) {
                              callback(answer ? decode_outcome(*answer) : unclear_outcome());
                          });
}

append_outcome await_append(node_state& node, std::uint32_t shard, const state::journal_entry& entry,
                            std::chrono::milliseconds timeout, const boost::asio::yield_context& yield) {
    const auto deadline = clock::now() + timeout;
    for (;;) {
        auto outcome = adapters::await_value<append_outcome>(
            yield, [&](append_callback done) { append_at_owner(node, shard, entry, std::move(done)); });
        if (outcome.disposition == state::entry_disposition::settled ||
            clock::now() + repeat_delay >= deadline) {
            return outcome;
        }
        adapters::sleep_for(repeat_delay, yield);
    }
}

void serve_append(node_state& node, const std::string& body, const std::function<void(std::string)>& reply) {
    const json parsed = json::parse(body, nullptr, false);
    const auto entry = state::decode_entry(adapters::value_or(parsed, "entry", std::string()));
    const std::uint32_t shard = adapters::value_or(parsed, "shard", std::uint32_t{0});
    if (!entry || shard >= node.journal.shards.size()) {
        reply(encode_outcome(unclear_outcome()));
        return;
    }
    append_local(node.journal, shard, *entry, append_timeout(node),
                 [reply](const append_outcome& outcome) { reply(encode_outcome(outcome)); });
}

void update_owned_shards(node_state& node) {
    const auto members = possible_owners(node);
    std::vector<std::string> ids;
    ids.reserve(members->size());
    for (const auto& member : *members) {
        ids.push_back(member.id);
    }
    if (ids != node.journal.owner_ids) {
        node.journal.owned = choose_owned_shards(node, *members);
        node.journal.owner_ids = std::move(ids);
    }
    set_owned_shards(node.journal, node.journal.owned);
}

} // namespace figspoke::node
