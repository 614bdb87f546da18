#include "state/entry_choice.h"

#include <algorithm>
#include <deque>
#include <map>

#include "core/hash.h"

namespace figspoke::state {
namespace {

// Members of one load class are interchangeable, so that small changes of load don't move callers.
constexpr int load_class_width = 25;
constexpr int top_load_class = 4;

int load_class(const member_entry& entry) {
    return std::min(int(entry.load) / load_class_width, top_load_class);
}

using domain_queues = std::map<std::string, std::deque<const member_entry*>>;

domain_queues rank_in_domains(const std::vector<const member_entry*>& serving, std::string_view caller) {
    domain_queues queues;
    const auto id_of = [](const member_entry& entry) -> std::string_view { return entry.id; };
    for (const auto* entry : core::rendezvous_order(caller, serving, id_of)) {
        queues[entry->failure_domain].push_back(entry);
    }
    for (auto& [domain, queue] : queues) {
        std::stable_sort(queue.begin(), queue.end(), [](const member_entry* a, const member_entry* b) {
            return load_class(*a) < load_class(*b);
        });
    }
    return queues;
}

// One address of each domain in turn, the domains themselves in rendezvous order.
std::vector<const member_entry*> interleave(domain_queues queues, std::string_view caller) {
    std::vector<std::string> domains;
    for (const auto& [domain, queue] : queues) {
        domains.push_back(domain);
    }
    domains = core::rendezvous_order(caller, std::move(domains));
    std::vector<const member_entry*> ordered;
    for (bool found = true; found;) {
        found = false;
        for (const auto& domain : domains) {
            auto& queue = queues[domain];
            if (!queue.empty()) {
                ordered.push_back(queue.front());
                queue.pop_front();
                found = true;
            }
        }
    }
    return ordered;
}

} // namespace

std::vector<std::string> choose_entries(const std::vector<const member_entry*>& serving,
                                        std::string_view caller, std::size_t count) {
    auto ordered = interleave(rank_in_domains(serving, caller), caller);
    const auto round = std::min(count, ordered.size());
    // The addresses to return are the spread ones; among them, the lightly loaded come first.
    std::stable_sort(
        ordered.begin(), ordered.begin() + std::ptrdiff_t(round),
        [](const member_entry* a, const member_entry* b) { return load_class(*a) < load_class(*b); });
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < round; ++i) {
        addresses.push_back(ordered[i]->http_address);
    }
    return addresses;
}

} // namespace figspoke::state
