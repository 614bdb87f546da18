#include "state/ledger_page.h"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include "state/journal_codec.h"
#include "state/shard_size.h"

namespace figspoke::state {
namespace {

using nlohmann::json;

constexpr std::uint64_t format_version = 1;
constexpr std::size_t max_page_bytes = max_value_bytes / 2;

ledger_page decode_fields(const json& source) {
    auto reader = read_array(source, "page");
    if (read_unsigned(reader, "format") != format_version) {
        throw_field_error("page.format", "is not 1");
    }
    ledger_page decoded;
    decoded.shard = static_cast<std::uint32_t>(read_unsigned(reader, "shard"));
    decoded.page = read_unsigned(reader, "number");
    const json& charges = read_item(reader, "charges");
    auto entries = read_array(charges, "page.charges");
    for (std::size_t i = 0; i < charges.size(); ++i) {
        decoded.charges.push_back(
            decode_charge(read_item(entries, "charge"), "page.charges[" + std::to_string(i) + "]"));
    }
    return decoded;
}

} // namespace

ledger_page make_ledger_page(std::uint32_t shard, const journal_shard& value, std::size_t max_charges) {
    ledger_page page;
    page.shard = shard;
    page.page = value.next_page;
    std::size_t bytes = 0;
    for (const auto& entry : value.charges) {
        bytes += encoded_size(entry);
        if (page.charges.size() == max_charges || (bytes > max_page_bytes && !page.charges.empty())) {
            break;
        }
        page.charges.push_back(entry);
    }
    return page;
}

void remove_sealed_charges(journal_shard& value, const ledger_page& page) {
    if (page.page != value.next_page) {
        return;
    }
    // The charges to remove are taken from the page: an owner with other limits may have written it, so it
    // may differ from the page that this node would build.
    std::set<std::pair<std::string, std::uint64_t>> sealed_ids;
    for (const auto& entry : page.charges) {
        sealed_ids.emplace(entry.writer, entry.sequence);
    }
    const auto is_sealed = [&](const charge& entry) {
        return sealed_ids.count({entry.writer, entry.sequence}) != 0;
    };
    value.charges.erase(std::remove_if(value.charges.begin(), value.charges.end(), is_sealed),
                        value.charges.end());
    ++value.next_page;
}

std::string encode_ledger_page(const ledger_page& value) {
    json charges = json::array();
    for (const auto& entry : value.charges) {
        charges.push_back(encode_charge(entry));
    }
    return json::array({format_version, value.shard, value.page, std::move(charges)}).dump();
}

core::result<ledger_page> decode_ledger_page(std::string_view text) {
    try {
        return decode_fields(json::parse(text));
    } catch (const json::exception& failure) {
        return core::fail(core::error_kind::internal,
                          std::string("ledger page is not valid JSON: ") + failure.what());
    } catch (const std::invalid_argument& failure) {
        return core::fail(core::error_kind::internal, std::string("ledger page: ") + failure.what());
    }
}

} // namespace figspoke::state
