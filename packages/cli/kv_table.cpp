#include "cli/kv_table.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "adapters/kv_client.h"

namespace figspoke::cli {
namespace {

using adapters::kv_error_kind;
using boost::asio::yield_context;

constexpr const char* table_key = "figspoke/table";
constexpr std::chrono::milliseconds call_timeout{2000};

// Runs one call of the key-value service to its end.
template <class Value, class Call>
adapters::kv_result<Value> call_kv(const std::string& address, Call call) {
    boost::asio::io_context context;
    adapters::http_client client(context);
    const auto store = adapters::make_kv_store(client, address, call_timeout);
    adapters::kv_result<Value> answer;
    boost::asio::spawn(
        context, [&](const yield_context& yield) { answer = call(store, yield); },
        [](const std::exception_ptr& thrown) {
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
    context.run();
    return answer;
}

tl::unexpected<core::error> unavailable(const std::string& address, const adapters::kv_error& error) {
    return core::fail(core::error_kind::store_unavailable,
                      "key-value service " + address + ": " + error.message);
}

} // namespace

core::result<stored_table> read_table(const std::string& kv_address) {
    const auto value = call_kv<adapters::kv_value>(
        kv_address, [](const adapters::kv_store& store, const yield_context& yield) {
            return store.get(table_key, yield);
        });
    if (!value && value.error().kind == kv_error_kind::not_found) {
        return stored_table{};
    }
    if (!value) {
        return unavailable(kv_address, value.error());
    }
    auto table = core::decode_table(value->text);
    if (!table) {
        return tl::make_unexpected(table.error());
    }
    return stored_table{std::move(*table), value->version};
}

core::result<core::write_answer> write_table(const std::string& kv_address, const core::table& table,
                                             std::uint64_t expected_version) {
    const std::string text = core::encode_table(table);
    const auto written =
        call_kv<std::uint64_t>(kv_address, [&](const adapters::kv_store& store, const yield_context& yield) {
            return store.compare_and_swap(table_key, text, expected_version, "", yield);
        });
    if (written) {
        return core::write_answer::stored;
    }
    switch (written.error().kind) {
    case kv_error_kind::conflict:
        return core::write_answer::conflict;
    case kv_error_kind::too_large:
        return core::fail(core::error_kind::payload_too_large,
                          "the table has " + std::to_string(text.size()) +
                              " bytes, more than the key-value service takes");
    case kv_error_kind::unavailable:
        return unavailable(kv_address, written.error());
    default:
        return core::write_answer::unclear;
    }
}

} // namespace figspoke::cli
