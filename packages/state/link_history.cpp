#include "state/link_history.h"

#include <algorithm>

#include "core/hash.h"

namespace figspoke::state {

void record_request(link_history& history, const std::string& request_id) {
    history.requests.push_back(core::stable_hash(request_id));
}

bool may_carry(const link_history& history, const std::string& request_id) {
    const auto& requests = history.requests;
    return std::find(requests.begin(), requests.end(), core::stable_hash(request_id)) == requests.end();
}

bool is_used_up(const link_history& history) {
    return history.requests.size() >= max_requests_per_link;
}

} // namespace figspoke::state
