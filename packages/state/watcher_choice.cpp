#include "state/watcher_choice.h"

#include <algorithm>
#include <map>

#include "core/hash.h"

namespace figspoke::state {

std::vector<std::string> choose_watchers(const std::vector<const member_entry*>& serving) {
    std::map<std::string, std::vector<std::string>> domains;
    for (const auto* entry : serving) {
        domains[entry->failure_domain].push_back(entry->id);
    }
    std::vector<std::string> watchers;
    for (auto& [domain, ids] : domains) {
        auto ranked = core::rendezvous_order("watch/" + domain, std::move(ids));
        ranked.resize(std::min(ranked.size(), watchers_per_domain));
        watchers.insert(watchers.end(), ranked.begin(), ranked.end());
    }
    return watchers;
}

} // namespace figspoke::state
