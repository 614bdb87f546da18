#include "policy/relay_queue.h"

#include <algorithm>

namespace figspoke::policy {
namespace {

double effective_rank(const queued_request& request, const relay_queue_settings& settings,
                      core::steady_time now) {
    const double target = std::max(core::to_seconds(request.latency_target), 0.01);
    return request.rank - settings.aging_ranks_per_target * core::to_seconds(now - request.since) / target;
}

} // namespace

bool add_waiting(relay_queue& queue, const relay_queue_settings& settings, const std::string& service,
                 const queued_request& request) {
    auto& waiting = queue.services[service];
    if (waiting.size() >= settings.max_waiting) {
        return false;
    }
    waiting[request.id] = request;
    return true;
}

void remove_waiting(relay_queue& queue, const std::string& service, std::uint64_t id) {
    const auto found = queue.services.find(service);
    if (found == queue.services.end()) {
        return;
    }
    found->second.erase(id);
    if (found->second.empty()) {
        queue.services.erase(found);
    }
}

std::optional<std::uint64_t> next_waiting(const relay_queue& queue, const relay_queue_settings& settings,
                                          const std::string& service, core::steady_time now) {
    const auto found = queue.services.find(service);
    if (found == queue.services.end() || found->second.empty()) {
        return std::nullopt;
    }
    const auto best =
        std::min_element(found->second.begin(), found->second.end(), [&](const auto& a, const auto& b) {
            return std::make_pair(effective_rank(a.second, settings, now), a.second.since) <
                   std::make_pair(effective_rank(b.second, settings, now), b.second.since);
        });
    return best->first;
}

std::size_t waiting_count(const relay_queue& queue, const std::string& service) {
    const auto found = queue.services.find(service);
    return found == queue.services.end() ? 0 : found->second.size();
}

} // namespace figspoke::policy
