#include "adapters/sse.h"

#include <algorithm>

namespace figspoke::adapters {
namespace {

std::string event_data(std::string_view event) {
    std::string data;
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (line.substr(0, 5) != "data:") {
            continue;
        }
        line.remove_prefix(line.substr(5, 1) == " " ? 6 : 5);
        data += (data.empty() ? "" : "\n") + std::string(line);
    }
    return data;
}

void append_without_carriage_returns(std::string& into, std::string_view bytes) {
    for (const char c : bytes) {
        if (c != '\r') {
            into.push_back(c);
        }
    }
}

} // namespace

bool feed_sse(sse_buffer& buffer, std::string_view bytes, const sse_handler& handler) {
    append_without_carriage_returns(buffer.pending, bytes);
    std::size_t begin = 0;
    // The last byte that was searched may be the first of the two that end an event.
    const auto unsearched = buffer.searched - std::min<std::size_t>(buffer.searched, 1);
    for (auto end = buffer.pending.find("\n\n", unsearched); end != std::string::npos;
         end = buffer.pending.find("\n\n", begin)) {
        const auto data = event_data(std::string_view(buffer.pending).substr(begin, end - begin));
        begin = end + 2;
        if (!data.empty() && !handler(data)) {
            return false;
        }
    }
    buffer.pending.erase(0, begin);
    buffer.searched = buffer.pending.size();
    return buffer.pending.size() <= max_sse_event_bytes;
}

std::string render_sse(std::string_view data) {
    return "data: " + std::string(data) + "\n\n";
}

} // namespace figspoke::adapters
