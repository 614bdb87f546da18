#include "state/link_choice.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "core/hash.h"

namespace figspoke::state {
namespace {

// How long a failed member is dialled before the next one.
constexpr core::seconds probe_period{5};

std::pair<std::uint64_t, std::string_view> ring_place(const std::string& id) {
    return {core::stable_hash(id), id};
}

// The successor links alone connect all members, so the graph is connected whatever else is chosen.
std::string ring_successor(const std::string& self, const std::map<std::string, std::string>& domains) {
    const auto own = ring_place(self);
    const std::string* first = nullptr;
    const std::string* next = nullptr;
    for (const auto& [id, domain] : domains) {
        const auto place = ring_place(id);
        if (first == nullptr || place < ring_place(*first)) {
            first = &id;
        }
        if (place > own && (next == nullptr || place < ring_place(*next))) {
            next = &id;
        }
    }
    return next != nullptr ? *next : *first;
}

// Takes the first of the ranked ids whose failure domain isn't linked yet, or else the first.
std::string take_pick(std::vector<std::string>& ranked, const std::map<std::string, std::string>& domains,
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
    while (chosen.size() < dialled_links && !others.empty()) {
        chosen.push_back(take_pick(others, domains, linked_domains));
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

std::string choose_probe(const membership& known, const health_timeouts& timeouts, core::steady_time now) {
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
    const auto turn = std::to_string(now.time_since_epoch() / probe_period);
    return core::rendezvous_order(known.self + "/" + turn, std::move(failed)).front();
}

} // namespace figspoke::state
