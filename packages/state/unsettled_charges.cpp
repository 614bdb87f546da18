#include "state/unsettled_charges.h"

#include <algorithm>
#include <utility>

namespace figspoke::state {
namespace {

// Expected memory of the charge of a running request.
constexpr std::size_t reserved_bytes = 400;

std::size_t memory_bytes(const charge& value) {
    return sizeof(unsettled_charge) + value.id.size() + value.account.size() + value.key_id.size() +
           value.version.size() + value.writer.size();
}

} // namespace

core::result<void> reserve_charge(unsettled_charges& unsettled) {
    const bool too_many = unsettled.charges + unsettled.reserved >= unsettled.limits.max_charges;
    const bool too_large =
        unsettled.bytes + (unsettled.reserved + 1) * reserved_bytes > unsettled.limits.max_bytes;
    if (too_many || too_large) {
        return core::fail(core::error_kind::unsettled_limit,
                          std::to_string(unsettled.charges) + " charges (" + std::to_string(unsettled.bytes) +
                              " bytes) are waiting to be recorded and " + std::to_string(unsettled.reserved) +
                              " requests are running");
    }
    ++unsettled.reserved;
    return {};
}

void release_reservation(unsettled_charges& unsettled) {
    if (unsettled.reserved > 0) {
        --unsettled.reserved;
    }
}

charge add_charge(unsettled_charges& unsettled, std::uint32_t shard, charge value) {
    release_reservation(unsettled);
    value.writer = unsettled.writer;
    value.sequence = ++unsettled.last_sequence[shard];
    unsettled_charge entry;
    entry.bytes = memory_bytes(value);
    entry.value = value;
    ++unsettled.charges;
    unsettled.bytes += entry.bytes;
    unsettled.shards[shard].push_back(std::move(entry));
    return value;
}

std::vector<charge> charges_to_send(unsettled_charges& unsettled, std::uint32_t shard, std::size_t max,
                                    core::steady_time now) {
    std::vector<charge> due_charges;
    const auto found = unsettled.shards.find(shard);
    if (found == unsettled.shards.end()) {
        return due_charges;
    }
    for (auto& entry : found->second) {
        if (due_charges.size() == max) {
            break;
        }
        if (!entry.sent || now - entry.sent_at >= unsettled.limits.resend_after) {
            entry.sent = true;
            entry.sent_at = now;
            due_charges.push_back(entry.value);
        }
    }
    return due_charges;
}

void resend_charges(unsettled_charges& unsettled, std::uint32_t shard) {
    const auto found = unsettled.shards.find(shard);
    if (found != unsettled.shards.end()) {
        for (auto& entry : found->second) {
            entry.sent = false;
        }
    }
}

void settle_charge(unsettled_charges& unsettled, std::uint32_t shard, std::uint64_t sequence) {
    const auto found = unsettled.shards.find(shard);
    if (found == unsettled.shards.end()) {
        return;
    }
    auto& entries = found->second;
    const auto entry = std::lower_bound(entries.begin(), entries.end(), sequence,
                                        [](const unsettled_charge& candidate, std::uint64_t wanted) {
                                            return candidate.value.sequence < wanted;
                                        });
    if (entry == entries.end() || entry->value.sequence != sequence) {
        return;
    }
    --unsettled.charges;
    unsettled.bytes -= entry->bytes;
    entries.erase(entry);
    if (entries.empty()) {
        unsettled.shards.erase(found);
    }
}

} // namespace figspoke::state
