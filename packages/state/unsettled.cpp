#include "state/unsettled.h"

#include <algorithm>
#include <utility>

namespace figspoke::state {
namespace {

// The expected size of the charge of a running request.
constexpr std::size_t reserved_bytes = 400;

std::size_t memory_of(const charge& value) {
    return sizeof(unsettled_charge) + value.id.size() + value.account.size() + value.key_id.size() +
           value.version.size() + value.writer.size();
}

} // namespace

core::result<void> reserve_charge(unsettled_charges& held) {
    const bool too_many = held.charges + held.reserved >= held.limits.max_charges;
    const bool too_large = held.bytes + (held.reserved + 1) * reserved_bytes > held.limits.max_bytes;
    if (too_many || too_large) {
        return core::fail(core::error_kind::unsettled_limit,
                          std::to_string(held.charges) + " charges (" + std::to_string(held.bytes) +
                              " bytes) wait to be recorded and " + std::to_string(held.reserved) +
                              " requests are running");
    }
    ++held.reserved;
    return {};
}

void release_reservation(unsettled_charges& held) {
    if (held.reserved > 0) {
        --held.reserved;
    }
}

charge add_charge(unsettled_charges& held, std::uint32_t shard, charge value) {
    release_reservation(held);
    value.writer = held.writer;
    value.sequence = ++held.next_sequence[shard];
    unsettled_charge entry;
    entry.bytes = memory_of(value);
    entry.value = value;
    ++held.charges;
    held.bytes += entry.bytes;
    held.shards[shard].push_back(std::move(entry));
    return value;
}

std::vector<charge> charges_to_send(unsettled_charges& held, std::uint32_t shard, std::size_t max,
                                    core::steady_time now) {
    std::vector<charge> due;
    const auto found = held.shards.find(shard);
    if (found == held.shards.end()) {
        return due;
    }
    for (auto& entry : found->second) {
        if (due.size() == max) {
            break;
        }
        if (!entry.sent || now - entry.sent_at >= held.limits.resend_after) {
            entry.sent = true;
            entry.sent_at = now;
            due.push_back(entry.value);
        }
    }
    return due;
}

void resend_charges(unsettled_charges& held, std::uint32_t shard) {
    const auto found = held.shards.find(shard);
    if (found != held.shards.end()) {
        for (auto& entry : found->second) {
            entry.sent = false;
        }
    }
}

void settle_charge(unsettled_charges& held, std::uint32_t shard, std::uint64_t sequence) {
    const auto found = held.shards.find(shard);
    if (found == held.shards.end()) {
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
    --held.charges;
    held.bytes -= entry->bytes;
    entries.erase(entry);
    if (entries.empty()) {
        held.shards.erase(found);
    }
}

} // namespace figspoke::state
