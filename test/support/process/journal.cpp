#include "support/process/journal.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>

#include "state/ledger_page.h"

namespace figspoke::test {
namespace {

using nlohmann::json;

std::vector<std::string> list_keys(const fleet& nodes, const std::string& prefix) {
    std::vector<std::string> keys;
    const json listed = json_of(http_get(nodes.kv(), "/list/" + prefix));
    for (const auto& item : listed.at("keys")) {
        keys.push_back(item.at("key").get<std::string>());
    }
    return keys;
}

int last_number(const std::string& key) {
    return std::atoi(key.c_str() + key.rfind('/') + 1);
}

} // namespace

std::map<int, state::journal_shard> read_shards(const fleet& nodes) {
    std::map<int, state::journal_shard> shards;
    for (const auto& key : list_keys(nodes, "figspoke/journal/")) {
        auto shard = state::decode_shard(http_get(nodes.kv(), "/kv/" + key).body);
        if (!shard) {
            throw std::runtime_error(key + " is malformed: " + shard.error().message);
        }
        shards[last_number(key)] = std::move(*shard);
    }
    return shards;
}

std::vector<state::charge> read_charges(const fleet& nodes) {
    std::vector<state::charge> charges;
    const auto add = [&](const std::vector<state::charge>& more) {
        charges.insert(charges.end(), more.begin(), more.end());
    };
    const auto shards = read_shards(nodes);
    for (const auto& [number, shard] : shards) {
        add(shard.charges);
    }
    for (const auto& key : list_keys(nodes, "figspoke/ledger/")) {
        const auto page = state::decode_ledger_page(http_get(nodes.kv(), "/kv/" + key).body);
        if (!page) {
            throw std::runtime_error(key + " is malformed: " + page.error().message);
        }
        // The charges of a page that the shard has not counted yet are still open in the shard.
        if (page->page < shards.at(static_cast<int>(page->shard)).next_page) {
            add(page->charges);
        }
    }
    return charges;
}

std::map<std::string, state::charge> charges_by_request(const fleet& nodes) {
    std::map<std::string, state::charge> found;
    for (const auto& charge : read_charges(nodes)) {
        if (!found.emplace(charge.id, charge).second) {
            throw std::runtime_error("request " + charge.id + " is charged twice");
        }
    }
    return found;
}

json status_of(const fleet& nodes, int index) {
    return json_of(http_get(nodes.node(index), "/admin/status"));
}

bool wait_for_members(const fleet& nodes) {
    return wait_until([&] {
        const auto roster = http_get(nodes.kv(), "/kv/figspoke/members").body;
        bool known = true;
        for (int i = 0; i < nodes.node_count(); ++i) {
            known = known && roster.find("node" + std::to_string(i)) != std::string::npos &&
                    status_of(nodes, i).at("members").size() == static_cast<std::size_t>(nodes.node_count());
        }
        return known;
    });
}

bool is_settled(const fleet& nodes, const std::vector<int>& indices) {
    return std::all_of(indices.begin(), indices.end(), [&](int index) {
        const auto charges = status_of(nodes, index).at("charges");
        return charges.at("unsettled") == 0 && charges.at("copies") == 0;
    });
}

} // namespace figspoke::test
