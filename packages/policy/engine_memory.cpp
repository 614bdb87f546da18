#include "policy/engine_memory.h"

#include <algorithm>

#include "core/erase_where.h"

namespace figspoke::policy {

std::int64_t reserved_tokens(std::int64_t prompt, std::int64_t output) {
    return std::max<std::int64_t>(prompt, 0) + std::max<std::int64_t>(output, 0);
}

bool has_engine_memory(const engine_memory_settings& settings, std::int64_t capacity, std::int64_t used,
                       std::int64_t wanted) {
    if (capacity <= 0 || used <= 0) {
        return true;
    }
    return double(used) + double(wanted) <= settings.fill_limit * double(capacity);
}

void grant_memory(memory_grants& grants, const engine_memory_settings& settings, const std::string& upstream,
                  const std::string& node, std::int64_t tokens, core::steady_time now) {
    if (tokens <= 0) {
        return;
    }
    auto& all = grants.upstreams[upstream];
    if (all.size() >= settings.max_grants) {
        all.erase(all.begin());
    }
    all.push_back({node, tokens, now});
}

void settle_grant(memory_grants& grants, const std::string& upstream, const std::string& node) {
    const auto found = grants.upstreams.find(upstream);
    if (found == grants.upstreams.end()) {
        return;
    }
    auto& all = found->second;
    const auto oldest = std::find_if(all.begin(), all.end(),
                                     [&](const memory_grants::grant& grant) { return grant.node == node; });
    if (oldest != all.end()) {
        all.erase(oldest);
    }
}

std::int64_t granted_tokens(const memory_grants& grants, const engine_memory_settings& settings,
                            const std::string& upstream, core::steady_time now) {
    const auto found = grants.upstreams.find(upstream);
    std::int64_t tokens = 0;
    if (found != grants.upstreams.end()) {
        for (const auto& grant : found->second) {
            tokens += now - grant.at <= settings.grant_lifetime ? grant.tokens : 0;
        }
    }
    return tokens;
}

void expire_grants(memory_grants& grants, const engine_memory_settings& settings, core::steady_time now) {
    core::erase_where(grants.upstreams, [&](std::vector<memory_grants::grant>& all, const std::string&) {
        all.erase(std::remove_if(all.begin(), all.end(),
                                 [&](const memory_grants::grant& grant) {
                                     return now - grant.at > settings.grant_lifetime;
                                 }),
                  all.end());
        return all.empty();
    });
}

} // namespace figspoke::policy
