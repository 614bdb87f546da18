#include "state/shard_owner.h"

#include "core/hash.h"

namespace figspoke::state {

std::string choose_shard_owner(std::uint32_t shard, const std::vector<const member_entry*>& serving) {
    std::vector<std::string> ids;
    ids.reserve(serving.size());
    for (const auto* member : serving) {
        ids.push_back(member->id);
    }
    const auto ranked = core::rendezvous_order("shard/" + std::to_string(shard), std::move(ids));
    return ranked.empty() ? std::string() : ranked.front();
}

} // namespace figspoke::state
