#include "relay/document_codec.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "adapters/deflate.h"

namespace figspoke::relay {
namespace {

using nlohmann::json;

// Far larger than a registry of thousands of upstreams.
constexpr std::size_t max_document_bytes = 16U * 1024 * 1024;

// Age of a document that was never found to be current. Older than any bound, and no time overflows by it.
constexpr core::milliseconds max_age{std::chrono::hours(24 * 365)};

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

} // namespace

// The items are compressed, since entries of one kind share most of their bytes. Uncompressed, a registry of
// 280 upstreams that one node sends to 20 peers would delay its requests by more than a second on a 10 Mbit/s
// link.
packed_document pack_document(const state::document_content& content) {
    json items = json::array();
    for (const auto& item : content.items) {
        items.push_back({item.key, binary_of(item.value), item.revision, item.kept});
    }
    return {content.hash, state::latest_revision(content), adapters::deflate_bytes(to_bytes(items))};
}

bool holds_items(const packed_document& packed, const state::document_content& content) {
    return packed.hash == content.hash && packed.revision == state::latest_revision(content);
}

document_ages ages_of(const state::shared_document& document, core::steady_time now) {
    const auto age_of = [&](core::steady_time at) {
        return at == core::steady_time::min() ? max_age : std::chrono::ceil<core::milliseconds>(now - at);
    };
    return {age_of(document.confirmed_at), age_of(document.current_at)};
}

std::string encode_document(const state::document_content& content, const packed_document& packed,
                            const document_ages& ages, const std::vector<state::told_held_entry>& held_back) {
    json held = json::array();
    for (const auto& [id, entry] : held_back) {
        held.push_back({id, entry.incarnation, entry.sequence});
    }
    return to_bytes({{"at", state::pack_position(content.at)},
                     {"hash", content.hash},
                     {"age", ages.confirmed.count()},
                     {"current_age", ages.current.count()},
                     {"held_back", std::move(held)},
                     {"items", binary_of(packed.items)}});
}

std::optional<received_document> decode_document(std::string_view bytes) {
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        received_document document;
        auto& content = document.content;
        content.at = state::unpack_position(value.at("at").get<std::uint64_t>());
        content.hash = value.at("hash").get<std::uint64_t>();
        const auto items = adapters::inflate_bytes(text_of(value.at("items")), max_document_bytes);
        if (!items) {
            return std::nullopt;
        }
        for (const auto& item : json::from_cbor(*items)) {
            state::document_item decoded{item.at(0).get<std::string>(), text_of(item.at(1)),
                                         item.at(2).get<std::uint64_t>(), std::nullopt, false};
            // Nodes without eras send neither this nor the second age.
            decoded.kept = item.size() > 3 && item.at(3).get<bool>();
            content.items.push_back(std::move(decoded));
        }
        document.ages.confirmed = core::milliseconds(value.at("age").get<std::int64_t>());
        document.ages.current =
            core::milliseconds(value.value("current_age", document.ages.confirmed.count()));
        for (const auto& held : value.value("held_back", json::array())) {
            document.held_back.push_back({held.at(0).get<std::string>(),
                                          {held.at(1).get<std::int64_t>(), held.at(2).get<std::uint64_t>()}});
        }
        return document;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace figspoke::relay
