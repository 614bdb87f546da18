#include "state/route_table.h"

#include <algorithm>

namespace figspoke::state {
namespace {

std::string_view without_query(std::string_view target) {
    return target.substr(0, target.find('?'));
}

// Routes are chosen regardless of the port in the Host header.
std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

bool begins_with(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
}

} // namespace

void sort_routes(route_table& table) {
    for (auto& [host, routes] : table.hosts) {
        std::stable_sort(routes.begin(), routes.end(), [](const relay_route& a, const relay_route& b) {
            return a.prefix.size() > b.prefix.size();
        });
    }
}

const relay_route* find_route(const route_table& table, std::string_view host, std::string_view target) {
    const auto found = table.hosts.find(std::string(without_port(host)));
    if (found == table.hosts.end()) {
        return nullptr;
    }
    const auto path = without_query(target);
    for (const auto& route : found->second) {
        if (begins_with(path, route.prefix)) {
            return &route;
        }
    }
    return nullptr;
}

const relay_account* find_account(const route_table& table, std::string_view key) {
    // A request without a key must not match an empty one that an account lists by mistake.
    const auto found = key.empty() ? table.account_of_key.end() : table.account_of_key.find(key);
    return found == table.account_of_key.end() ? nullptr : &table.accounts.at(found->second);
}

std::string choose_service(const relay_route& route, double draw) {
    double total = 0;
    for (const auto& share : route.services) {
        total += std::max(share.weight, 0.0);
    }
    if (total <= 0) {
        return {};
    }
    double position = draw * total;
    for (const auto& share : route.services) {
        position -= std::max(share.weight, 0.0);
        if (position < 0 && share.weight > 0) {
            return share.service;
        }
    }
    const auto last = std::find_if(route.services.rbegin(), route.services.rend(),
                                   [](const weighted_service& share) { return share.weight > 0; });
    return last->service;
}

} // namespace figspoke::state
