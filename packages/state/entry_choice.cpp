#include "state/entry_choice.h"

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>

#include "core/hash.h"

namespace figspoke::state {
namespace {

// Width in percent. Members of one load class rank as equally loaded, so that small changes of load don't
// move callers.
constexpr int load_class_width = 25;
constexpr int top_load_class = 4;

int load_class(const member_entry& entry) {
    return std::min(int(entry.load) / load_class_width, top_load_class);
}

using domain_queues = std::map<std::string, std::deque<const member_entry*>>;

domain_queues rank_by_domain(const std::vector<const member_entry*>& serving, std::string_view caller) {
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

// Takes one member of each domain in turn, with the domains in rendezvous order.
std::vector<const member_entry*> interleave(domain_queues queues, std::string_view caller) {
    std::vector<std::string> domains;
    for (const auto& [domain, queue] : queues) {
        domains.push_back(domain);
    }
    domains = core::rendezvous_order(caller, std::move(domains));
    std::vector<const member_entry*> ordered;
    for (bool any_left = true; any_left;) {
        any_left = false;
        for (const auto& domain : domains) {
            auto& queue = queues[domain];
            if (!queue.empty()) {
                ordered.push_back(queue.front());
                queue.pop_front();
                any_left = true;
            }
        }
    }
    return ordered;
}

} // namespace

std::vector<std::string> choose_entry_addresses(const std::vector<const member_entry*>& serving,
                                                std::string_view caller, std::size_t count) {
    auto ordered = interleave(rank_by_domain(serving, caller), caller);
    const auto returned_count = std::min(count, ordered.size());
    // The spread over domains decides which addresses are returned; load decides only their order.
    std::stable_sort(
        ordered.begin(), ordered.begin() + std::ptrdiff_t(returned_count),
        [](const member_entry* a, const member_entry* b) { return load_class(*a) < load_class(*b); });
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < returned_count; ++i) {
        addresses.push_back(ordered[i]->http_address);
    }
    return addresses;
}

std::vector<const member_entry*> members_near(const std::vector<const member_entry*>& serving,
                                              const std::map<std::string, std::string>& regions,
                                              const std::string& caller_domain) {
    const auto own = regions.find(caller_domain);
    if (own == regions.end()) {
        return serving;
    }
    std::vector<const member_entry*> near;
    std::copy_if(serving.begin(), serving.end(), std::back_inserter(near), [&](const auto* member) {
        const auto region = regions.find(member->failure_domain);
        return region != regions.end() && region->second == own->second;
    });
    return near.empty() ? serving : near;
}

} // namespace figspoke::state
