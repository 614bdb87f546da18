#include "node/rate_service.h"

#include <algorithm>
#include <cmath>

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

#include "adapters/await.h"
#include "core/hash.h"
#include "node/node_state.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using core::error_kind;
using core::fail;
using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds demand_period{500};
// Well below two thirds of the authority time, so that one lost reply doesn't end the authority.
constexpr std::chrono::milliseconds confirm_period{700};
constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::milliseconds longest_wait{1500};
constexpr std::chrono::milliseconds poll_period{50};
constexpr std::chrono::seconds seat_lifetime{30};

std::string epoch_key(const std::string& account) {
    return "figspoke/rates/" + account;
}

std::string encode_demand(const policy::share_demand& demand) {
    return json{{"account", demand.account},         {"from", demand.from},
                {"sequence", demand.sequence},       {"wanted", demand.wanted},
                {"known_epoch", demand.known_epoch}, {"held_epoch", demand.held_epoch},
                {"held_id", demand.held_id},         {"held_rate", demand.held_rate}}
        .dump();
}

policy::share_demand decode_demand(const json& body) {
    policy::share_demand demand;
    demand.account = body.at("account").get<std::string>();
    demand.from = body.at("from").get<std::string>();
    demand.sequence = body.at("sequence").get<std::uint64_t>();
    demand.wanted = body.at("wanted").get<double>();
    demand.known_epoch = body.at("known_epoch").get<std::uint64_t>();
    demand.held_epoch = body.at("held_epoch").get<std::uint64_t>();
    demand.held_id = body.at("held_id").get<std::uint64_t>();
    demand.held_rate = body.at("held_rate").get<double>();
    return demand;
}

std::string encode_grant(const policy::share_grant& grant) {
    return json{{"account", grant.account}, {"to", grant.to},     {"epoch", grant.epoch},
                {"id", grant.id},           {"rate", grant.rate}, {"demand_sequence", grant.demand_sequence}}
        .dump();
}

policy::share_grant decode_grant(const json& body) {
    policy::share_grant grant;
    grant.account = body.at("account").get<std::string>();
    grant.to = body.at("to").get<std::string>();
    grant.epoch = body.at("epoch").get<std::uint64_t>();
    grant.id = body.at("id").get<std::uint64_t>();
    grant.rate = body.at("rate").get<double>();
    grant.demand_sequence = body.at("demand_sequence").get<std::uint64_t>();
    return grant;
}

double limit_of(node_state& node, const std::string& account) {
    const auto config = current_config(node.config);
    if (!config) {
        return 0;
    }
    const auto found = config->accounts.find(account);
    return found == config->accounts.end() ? 0 : static_cast<double>(found->second.tokens_per_s);
}

// Needs the service's lock.
policy::rate_holder& holder_of(node_state& node, const core::client_account& account) {
    const auto limit = static_cast<double>(account.tokens_per_s);
    auto found = node.rates.holders.find(account.name);
    if (found == node.rates.holders.end()) {
        found = node.rates.holders
                    .emplace(account.name, policy::make_rate_holder({}, node.incarnation, account.name, limit,
                                                                    clock::now()))
                    .first;
    }
    found->second.limit = limit;
    return found->second;
}

std::optional<state::member_entry> find_allocator(node_state& node, const std::string& account) {
    const auto serving = serving_members(node.nodes, clock::now());
    const auto& members = *serving;
    std::vector<std::string> ids;
    ids.reserve(members.size());
    for (const auto& member : members) {
        ids.push_back(member.id);
    }
    if (ids.empty()) {
        return std::nullopt;
    }
    const auto winner = core::rendezvous_order("rate/" + account, ids).front();
    return *std::find_if(members.begin(), members.end(),
                         [&](const state::member_entry& member) { return member.id == winner; });
}

void receive_grant(node_state& node, const std::string& text) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return;
    }
    try {
        const auto grant = decode_grant(body);
        const std::lock_guard lock(node.rates.mutex);
        const auto found = node.rates.holders.find(grant.account);
        if (found != node.rates.holders.end() && grant.to == node.incarnation) {
            policy::accept_grant(found->second, grant, clock::now());
        }
    } catch (const json::exception&) {
        return;
    }
}

void send_demand(node_state& node, const std::string& account, const policy::share_demand& demand) {
    const auto allocator = find_allocator(node, account);
    if (!allocator) {
        return;
    }
    if (allocator->id == node.settings.node.id) {
        receive_grant(node, serve_rate_demand(node, encode_demand(demand)));
        return;
    }
    node.nodes.mesh->call({allocator->id, allocator->mesh_address}, "rate_demand", encode_demand(demand),
                          call_timeout, [&node](const adapters::mesh_result& answer) {
                              if (answer) {
                                  receive_grant(node, *answer);
                              }
                          });
}

void send_demands(node_state& node) {
    std::vector<policy::share_demand> demands;
    {
        const std::lock_guard lock(node.rates.mutex);
        for (auto& [account, holder] : node.rates.holders) {
            demands.push_back(policy::make_demand(holder, clock::now()));
        }
    }
    for (const auto& demand : demands) {
        send_demand(node, demand.account, demand);
    }
}

void demand_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        send_demands(node);
        adapters::sleep_for(demand_period, yield);
    }
}

struct epoch_record {
    std::uint64_t epoch = 0;
    std::string holder;
};

epoch_record decode_epoch(const std::string& text) {
    const json parsed = json::parse(text, nullptr, false);
    return {adapters::value_or(parsed, "epoch", std::uint64_t{0}),
            adapters::value_or(parsed, "holder", std::string())};
}

std::string encode_epoch(const epoch_record& record) {
    return json{{"epoch", record.epoch}, {"holder", record.holder}}.dump();
}

void drop_authority(node_state& node, const std::string& account) {
    const std::lock_guard lock(node.rates.mutex);
    node.rates.seats[account].holds_epoch = false;
}

std::uint64_t known_epoch(node_state& node, const std::string& account) {
    const std::lock_guard lock(node.rates.mutex);
    const auto& seat = node.rates.seats[account];
    return std::max(seat.known_epoch, seat.allocator.epoch);
}

// Reads the account's epoch and raises it. The epoch that this node held before, if any, is not reused, and
// none that holders of grants know: a service that came back from an older copy gives lower ones out again.
void take_epoch(node_state& node, const std::string& account, const yield_context& yield) {
    const auto read = node.kv.get(epoch_key(account), yield);
    if (!read && read.error().kind != adapters::kv_error_kind::not_found) {
        return;
    }
    const auto current = read ? decode_epoch(read->text) : epoch_record{};
    const epoch_record next{std::max(current.epoch, known_epoch(node, account)) + 1, node.incarnation};
    const auto sent = clock::now();
    const auto written =
        node.kv.compare_and_swap(epoch_key(account), encode_epoch(next), read ? read->version : 0, "", yield);
    if (!written) {
        return;
    }
    const std::lock_guard lock(node.rates.mutex);
    auto& seat = node.rates.seats[account];
    seat.allocator =
        policy::start_epoch({}, account, limit_of(node, account), next.epoch, sent, clock::now());
    seat.kv_version = *written;
    seat.holds_epoch = true;
}

void confirm(node_state& node, const std::string& account, std::uint64_t epoch, std::uint64_t kv_version,
             const yield_context& yield) {
    const auto sent = clock::now();
    const auto written = node.kv.compare_and_swap(epoch_key(account), encode_epoch({epoch, node.incarnation}),
                                                  kv_version, "", yield);
    if (written) {
        const std::lock_guard lock(node.rates.mutex);
        auto& seat = node.rates.seats[account];
        seat.kv_version = *written;
        seat.allocator.limit = limit_of(node, account);
        policy::confirm_epoch(seat.allocator, sent);
    } else {
        // After a lost reply the version is unknown. A new epoch is the simple way on: shares survive it.
        drop_authority(node, account);
    }
}

struct wanted_seat {
    std::string account;
    std::uint64_t epoch = 0;
    std::uint64_t kv_version = 0;
    bool holds_epoch = false;
};

std::vector<wanted_seat> wanted_seats(node_state& node) {
    std::vector<wanted_seat> wanted;
    const std::lock_guard lock(node.rates.mutex);
    for (auto seat = node.rates.seats.begin(); seat != node.rates.seats.end();) {
        if (clock::now() - seat->second.demanded_at > seat_lifetime) {
            seat = node.rates.seats.erase(seat);
            continue;
        }
        wanted.push_back(
            {seat->first, seat->second.allocator.epoch, seat->second.kv_version, seat->second.holds_epoch});
        ++seat;
    }
    return wanted;
}

void authority_loop(node_state& node, const yield_context& yield) {
    for (;;) {
        for (const auto& seat : wanted_seats(node)) {
            const auto allocator = find_allocator(node, seat.account);
            if (!allocator || allocator->id != node.settings.node.id) {
                drop_authority(node, seat.account);
            } else if (seat.holds_epoch) {
                confirm(node, seat.account, seat.epoch, seat.kv_version, yield);
            } else {
                take_epoch(node, seat.account, yield);
            }
        }
        adapters::sleep_for(confirm_period, yield);
    }
}

bool try_take(node_state& node, const core::client_account& account, double tokens) {
    const std::lock_guard lock(node.rates.mutex);
    return policy::take_tokens(holder_of(node, account), tokens, clock::now());
}

} // namespace

core::result<void> take_rate(node_state& node, const core::client_account& account, double tokens,
                             core::steady_time deadline, const yield_context& yield) {
    if (account.tokens_per_s <= 0) {
        return {};
    }
    const auto latest = std::min(deadline, clock::now() + longest_wait);
    while (!try_take(node, account, tokens)) {
        if (clock::now() >= latest) {
            return fail(error_kind::rate_limited,
                        "client account " + account.name + " has used its limit of " +
                            std::to_string(account.tokens_per_s) + " tokens a second");
        }
        adapters::sleep_for(poll_period, yield);
    }
    return {};
}

void return_rate(node_state& node, const core::client_account& account, double tokens) {
    if (account.tokens_per_s <= 0 || tokens <= 0) {
        return;
    }
    const std::lock_guard lock(node.rates.mutex);
    policy::return_tokens(holder_of(node, account), tokens, clock::now());
}

std::string serve_rate_demand(node_state& node, const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return {};
    }
    policy::share_demand demand;
    try {
        demand = decode_demand(parsed);
    } catch (const json::exception&) {
        return {};
    }
    const std::lock_guard lock(node.rates.mutex);
    auto& seat = node.rates.seats[demand.account];
    seat.demanded_at = clock::now();
    seat.known_epoch = std::max(seat.known_epoch, demand.known_epoch);
    // Holders accept no grant below an epoch that they know.
    seat.holds_epoch = seat.holds_epoch && seat.known_epoch <= seat.allocator.epoch;
    if (!seat.holds_epoch) {
        return {};
    }
    const auto grant = policy::answer_demand(seat.allocator, demand, clock::now());
    return grant ? encode_grant(*grant) : std::string();
}

void start_rates(node_state& node) {
    adapters::spawn_coroutine(node.context,
                              [&node](const yield_context& yield) { demand_loop(node, yield); });
    adapters::spawn_coroutine(node.context,
                              [&node](const yield_context& yield) { authority_loop(node, yield); });
}

} // namespace figspoke::node
