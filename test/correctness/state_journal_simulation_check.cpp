#include "support/journal_simulation.h"

#include <algorithm>

namespace figspoke::test {

using namespace state;

namespace {

bool is_settled(const journal_simulation& sim) {
    const bool charges_settled =
        std::all_of(sim.nodes.begin(), sim.nodes.end(), [](const simulated_node& node) {
            return node.unsettled.charges == 0 && node.copies.count == 0;
        });
    return charges_settled && std::all_of(sim.requests.begin(), sim.requests.end(), [&](const auto& request) {
               return request.state == request_state::done ||
                      sim.nodes[request.node].incarnation != request.claim.claimant;
           });
}

} // namespace

std::string page_key(std::uint64_t page) {
    return "page/" + std::to_string(page);
}

std::string entry_name(const journal_entry& entry) {
    if (const auto* claim = std::get_if<order_claim>(&entry)) {
        return "claim " + claim->request_id;
    }
    if (const auto* result = std::get_if<order_result>(&entry)) {
        return "result " + result->request_id;
    }
    const auto& value = std::get<charge>(entry);
    return value.writer + "#" + std::to_string(value.sequence);
}

journal_shard read_shard(const journal_simulation& sim) {
    const auto found = sim.stored.find("shard");
    return found == sim.stored.end() || found->second.version == 0 ? journal_shard{}
                                                                   : decode_shard(found->second.text).value();
}

bool run_until_settled(journal_simulation& sim) {
    for (auto& node : sim.nodes) {
        node.paused = false;
    }
    sim.drop_next_outcome = false;
    for (int round = 0; round < 400; ++round) {
        if (is_settled(sim)) {
            return true;
        }
        run_without_faults(sim);
    }
    return false;
}

void check_ledger(journal_simulation& sim) {
    const journal_shard value = read_shard(sim);
    std::map<std::pair<std::string, std::uint64_t>, int> charges;
    std::map<std::string, int> keys;
    std::int64_t micros = 0;
    const auto count = [&](const charge& entry) {
        ++charges[{entry.writer, entry.sequence}];
        keys[entry.key_id] += entry.key_id.empty() ? 0 : 1;
        micros += entry.micros;
    };
    std::for_each(value.charges.begin(), value.charges.end(), count);
    for (std::uint64_t page = 1; page < value.next_page; ++page) {
        const auto decoded = decode_ledger_page(sim.stored.at(page_key(page)).text).value();
        std::for_each(decoded.charges.begin(), decoded.charges.end(), count);
    }
    for (const auto& [identity, entry] : sim.acknowledged) {
        const int times = entry.key_id.empty() ? charges[identity] : keys[entry.key_id];
        if (times != 1) {
            sim.violations.emplace("charge", entry_name(entry) + " is in the ledger " +
                                                 std::to_string(times) + " times");
        }
    }
    std::int64_t total = 0;
    for (const auto& [account, sum] : value.totals) {
        total += sum.micros;
    }
    if (total != micros) {
        sim.violations.emplace("charge", "the totals differ from the ledger");
    }
}

} // namespace figspoke::test
