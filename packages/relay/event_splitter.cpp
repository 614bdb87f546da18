#include "relay/event_splitter.h"

#include <charconv>

namespace figspoke::relay {
namespace {

std::string_view next_line(std::string_view& text) {
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::uint64_t> parse_event_id(std::string_view event) {
    while (!event.empty()) {
        auto line = next_line(event);
        if (line.substr(0, 3) != "id:") {
            continue;
        }
        line.remove_prefix(3);
        if (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [end, code] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (code == std::errc() && end == line.data() + line.size()) {
            return id;
        }
    }
    return std::nullopt;
}

// Returns the position after the empty line that ends the first event, or npos. Starts at `from`, the end of
// the previous search.
std::size_t find_event_end(const std::string& text, std::size_t from) {
    for (auto newline = text.find('\n', from); newline != std::string::npos;
         newline = text.find('\n', newline + 1)) {
        if (newline + 1 < text.size() && text[newline + 1] == '\n') {
            return newline + 2;
        }
        if (newline + 2 < text.size() && text[newline + 1] == '\r' && text[newline + 2] == '\n') {
            return newline + 3;
        }
    }
    return std::string::npos;
}

} // namespace

// Text that is no event, such as that of an error, ends like an event where it has an empty line.
bool may_continue_stream(const stream_event& event) {
    if (event.id) {
        return true;
    }
    std::string_view text = event.bytes;
    while (!text.empty()) {
        const auto line = next_line(text);
        if (!line.empty() && line.front() != ':') {
            return false;
        }
    }
    return true;
}

std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    std::vector<stream_event> events;
    pending_.append(bytes);
    for (auto end = find_event_end(pending_, scanned_); end != std::string::npos;
         end = find_event_end(pending_, 0)) {
        stream_event event{pending_.substr(0, end), std::nullopt};
        event.id = parse_event_id(event.bytes);
        events.push_back(std::move(event));
        pending_.erase(0, end);
        scanned_ = 0;
    }
    // The last two bytes may be the start of the empty line.
    scanned_ = pending_.size() < 2 ? 0 : pending_.size() - 2;
    return events;
}

} // namespace figspoke::relay
