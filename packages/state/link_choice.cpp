#include "state/link_choice.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/hash.h"

namespace figspoke::state {
namespace {

// How long one failed member is dialled before the choice is made again.
constexpr core::seconds probe_period{5};

std::pair<std::uint64_t, std::string_view> ring_position(const std::string& id) {
    return {core::stable_hash(id), id};
}

// The successor links alone connect all members, so the graph is connected whatever the other links are.
std::string ring_successor(const std::string& self, const std::map<std::string, std::string>& domains) {
    const auto self_position = ring_position(self);
    const std::string* lowest = nullptr;
    const std::string* successor = nullptr;
    for (const auto& [id, domain] : domains) {
        const auto position = ring_position(id);
        if (lowest == nullptr || position < ring_position(*lowest)) {
            lowest = &id;
        }
        if (position > self_position && (successor == nullptr || position < ring_position(*successor))) {
            successor = &id;
        }
    }
    return successor != nullptr ? *successor : *lowest;
}

// Removes and returns the first ranked id whose failure domain has no link yet, or else the first id.
std::string take_next_link(std::vector<std::string>& ranked,
                           const std::map<std::string, std::string>& domains,
                           std::set<std::string>& linked_domains) {
    auto pick = std::find_if(ranked.begin(), ranked.end(), [&](const std::string& id) {
        return linked_domains.count(domains.at(id)) == 0;
    });
    if (pick == ranked.end()) {
        pick = ranked.begin();
    }
    std::string id = *pick;
    ranked.erase(pick);
    linked_domains.insert(domains.at(id));
    return id;
}

} // namespace

std::vector<std::string> choose_links(const member_entry& self,
                                      const std::vector<const member_entry*>& candidates) {
    std::map<std::string, std::string> domains;
    for (const auto* candidate : candidates) {
        if (candidate->id != self.id) {
            domains.emplace(candidate->id, candidate->failure_domain);
        }
    }
    std::vector<std::string> chosen;
    if (domains.empty()) {
        return chosen;
    }
    chosen.push_back(ring_successor(self.id, domains));
    std::set<std::string> linked_domains{self.failure_domain, domains.at(chosen.front())};
    std::vector<std::string> others;
    for (const auto& [id, domain] : domains) {
        if (id != chosen.front()) {
            others.push_back(id);
        }
    }
    others = core::rendezvous_order(self.id, std::move(others));
    while (chosen.size() < dialled_link_count && !others.empty()) {
        chosen.push_back(take_next_link(others, domains, linked_domains));
    }
    return chosen;
}

std::vector<std::string> choose_links(const membership& known, const health_timeouts& timeouts,
                                      core::steady_time now) {
    std::vector<const member_entry*> candidates;
    for (const auto& [id, record] : known.members) {
        if (record.entry.state != member_state::left &&
            health_of(known, record, timeouts, now) != member_health::failed) {
            candidates.push_back(&record.entry);
        }
    }
    return choose_links(self_entry(known), candidates);
}

std::string choose_probe_target(const membership& known, const health_timeouts& timeouts,
                                core::steady_time now) {
    std::vector<std::string> failed;
    for (const auto& [id, record] : known.members) {
        if (record.entry.state != member_state::left &&
            health_of(known, record, timeouts, now) == member_health::failed) {
            failed.push_back(id);
        }
    }
    if (failed.empty()) {
        return {};
    }
    const auto probe_round = std::to_string(now.time_since_epoch() / probe_period);
    return core::rendezvous_order(known.self + "/" + probe_round, std::move(failed)).front();
}

} // namespace figspoke::state
