#include "state/shard_size.h"

namespace figspoke::state {
namespace {

// A 64-bit integer needs up to 20 characters, and a separator.
constexpr std::size_t number_bytes = 21;
// Object keys and head numbers of an encoded shard.
constexpr std::size_t head_bytes = 512;

} // namespace

std::size_t encoded_size(std::string_view bytes) {
    std::size_t size = 2;
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if (byte < 0x20U) {
            size += 6;
        } else {
            size += c == '"' || c == '\\' || byte >= 0x7fU ? 2 : 1;
        }
    }
    return size;
}

std::size_t encoded_size(const order_record& record) {
    return encoded_size(record.account) + encoded_size(record.body_sha256) + encoded_size(record.request_id) +
           encoded_size(record.claimant) + encoded_size(record.body) + 2 * number_bytes + 16;
}

std::size_t encoded_size(const charge& value) {
    // Token counts and amounts need far fewer digits, but the estimate must never be too low.
    return encoded_size(value.id) + encoded_size(value.account) + encoded_size(value.key_id) +
           encoded_size(value.version) + encoded_size(value.writer) + 5 * number_bytes + 16;
}

std::size_t estimate_bytes(const journal_shard& shard) {
    std::size_t size = head_bytes + encoded_size(shard.owner);
    for (const auto& id : shard.batch_ids) {
        size += encoded_size(id) + 1;
    }
    for (const auto& [id, record] : shard.orders) {
        size += key_bytes + encoded_size(record);
    }
    for (const auto& entry : shard.charges) {
        size += encoded_size(entry);
    }
    for (const auto& [writer, progress] : shard.writers) {
        size += encoded_size(writer) + progress_bytes + range_bytes * progress.beyond.size();
    }
    for (const auto& [account, total] : shard.totals) {
        size += encoded_size(account) + total_bytes;
    }
    return size + key_bytes * shard.charged_keys.size();
}

} // namespace figspoke::state
