#include "cli/load_entry.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "adapters/await.h"

namespace figspoke::cli {
namespace {

using boost::asio::yield_context;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds ask_timeout{1000};
constexpr std::chrono::milliseconds ask_again_after{200};
constexpr std::chrono::milliseconds poll_period{2};

bool ask(entry_book& book, const std::string& address, adapters::http_client& client,
         const yield_context& yield) {
    adapters::http_call call;
    call.address = address;
    call.target = "/v1/entry?caller=" + book.caller;
    call.timeout = ask_timeout;
    const auto asked_at = clock::now();
    const auto reply = client.fetch(call, yield);
    if (!reply || reply->status != 200) {
        return false;
    }
    const auto body = nlohmann::json::parse(reply->body, nullptr, false);
    if (!body.is_object() || !body.value("addresses", nlohmann::json()).is_array() ||
        body["addresses"].empty()) {
        return false;
    }
    book.addresses = body["addresses"].get<std::vector<std::string>>();
    book.valid_until = asked_at + std::chrono::milliseconds(body.value("valid_ms", 0));
    return true;
}

void ask_any(entry_book& book, adapters::http_client& client, const yield_context& yield) {
    auto known = book.addresses;
    known.push_back(book.seed);
    const bool answered = std::any_of(known.begin(), known.end(), [&](const std::string& address) {
        return ask(book, address, client, yield);
    });
    if (!answered) {
        book.valid_until = clock::now() + ask_again_after;
    }
}

} // namespace

std::string take_address(entry_book& book, adapters::http_client& client, const yield_context& yield) {
    while (book.is_asking) {
        adapters::sleep_for(poll_period, yield);
    }
    if (clock::now() >= book.valid_until) {
        book.is_asking = true;
        ask_any(book, client, yield);
        book.is_asking = false;
    }
    return book.addresses.empty() ? book.seed : book.addresses[book.next++ % book.addresses.size()];
}

void expire(entry_book& book) {
    book.valid_until = clock::time_point();
}

} // namespace figspoke::cli
