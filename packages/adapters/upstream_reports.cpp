#include "adapters/upstream_reports.h"

#include "adapters/json_read.h"
#include "adapters/platform_call.h"

namespace figspoke::adapters {
namespace {

using boost::asio::yield_context;

constexpr std::uint64_t max_requests = 1000000;

int read_count(const nlohmann::json& body, const char* field) {
    return static_cast<int>(read_number(body, field, max_requests));
}

upstream_load_report read_load(const http_reply& reply) {
    const auto body = parse_object(reply.body);
    upstream_load_report report;
    report.running = read_count(body, "running");
    report.waiting = read_count(body, "waiting");
    report.slots = read_count(body, "slots");
    report.versions = read_texts(body, "versions");
    report.cached_tokens = static_cast<std::int64_t>(read_number(body, "cached_tokens", max_sequence));
    report.age = std::chrono::milliseconds(read_number(body, "age_ms", max_duration_ms));
    return report;
}

upstream_cache_event read_event(const nlohmann::json& entry) {
    const auto type = read_text(entry, "type");
    if (type != "cached" && type != "evicted") {
        throw std::invalid_argument("field \"type\" is neither \"cached\" nor \"evicted\"");
    }
    return {read_number(entry, "seq", max_sequence), type == "cached", read_text(entry, "version"),
            read_text(entry, "prefix")};
}

cache_event_page read_events(const http_reply& reply) {
    const auto body = parse_object(reply.body);
    cache_event_page page;
    page.next = read_number(body, "next", max_sequence);
    for (const auto& entry : read_array(body, "events")) {
        page.events.push_back(read_event(entry));
    }
    return page;
}

} // namespace

upstream_reports make_upstream_reports(http_client& client, std::chrono::milliseconds timeout) {
    upstream_reports port;
    port.read_load = [&client, timeout](const std::string& address, const yield_context& yield) {
        return get_from_platform({client, address, timeout}, "/load", yield, read_load);
    };
    port.read_events = [&client, timeout](const std::string& address, std::uint64_t after,
                                          const yield_context& yield) {
        return get_from_platform({client, address, timeout}, "/events?after=" + std::to_string(after), yield,
                                 read_events);
    };
    return port;
}

} // namespace figspoke::adapters
