#include "relay/document_codec.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "adapters/deflate.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

// Far larger than a registry of thousands of upstreams.
constexpr std::size_t max_document_bytes = 16U * 1024 * 1024;

std::string to_bytes(const json& value) {
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

json binary_of(const std::string& bytes) {
    return json::binary({bytes.begin(), bytes.end()});
}

std::string text_of(const json& binary) {
    const auto& bytes = binary.get_binary();
    return {bytes.begin(), bytes.end()};
}

std::uint64_t latest_revision(const state::document_content& content) {
    std::uint64_t latest = 0;
    for (const auto& item : content.items) {
        latest = std::max(latest, item.revision);
    }
    return latest;
}

} // namespace

// The items are compressed, since entries of one kind share most of their bytes. Uncompressed, a registry of
// 280 upstreams that one node sends to 20 peers would delay its requests by more than a second on a 10 Mbit/s
// link.
packed_document pack_document(const state::document_content& content) {
    json items = json::array();
    for (const auto& item : content.items) {
        items.push_back({item.key, binary_of(item.value), item.revision});
    }
    return {content.hash, latest_revision(content), adapters::deflate_bytes(to_bytes(items))};
}

bool holds_items(const packed_document& packed, const state::document_content& content) {
    return packed.hash == content.hash && packed.revision == latest_revision(content);
}

std::string encode_document(const state::document_content& content, const packed_document& packed,
                            core::milliseconds age) {
    return to_bytes({{"at", state::pack_position(content.at)},
                     {"hash", content.hash},
                     {"age", age.count()},
                     {"items", binary_of(packed.items)}});
}

std::optional<std::pair<state::document_content, core::milliseconds>>
decode_document(std::string_view bytes) {
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        state::document_content content;
        content.at = state::unpack_position(value.at("at").get<std::uint64_t>());
        content.hash = value.at("hash").get<std::uint64_t>();
        const auto items = adapters::inflate_bytes(text_of(value.at("items")), max_document_bytes);
        if (!items) {
            return std::nullopt;
        }
        for (const auto& item : json::from_cbor(*items)) {
            content.items.push_back(
                {item.at(0).get<std::string>(), text_of(item.at(1)), item.at(2).get<std::uint64_t>()});
        }
        return std::make_pair(std::move(content), core::milliseconds(value.at("age").get<std::int64_t>()));
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace figspoke::relay
