#include "relay/event_splitter.h"

#include <charconv>

namespace figspoke::relay {
namespace {

// Removes the first line with its end from the text and returns it without its end.
std::string_view next_line(std::string_view& text) {
    const auto end = text.find_first_of("\r\n");
    const auto line = text.substr(0, end);
    if (end == std::string_view::npos) {
        text = {};
        return line;
    }
    text.remove_prefix(text.substr(end, 2) == "\r\n" ? end + 2 : end + 1);
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

// An event ends at once with the CR of an empty line, since an LF may never follow. One that does follow
// belongs to the bytes before the next event.
std::vector<stream_event> event_splitter::feed(std::string_view bytes) {
    std::vector<stream_event> events;
    pending_.append(bytes);
    std::size_t begin = 0;
    for (; scanned_ < pending_.size(); ++scanned_) {
        const char byte = pending_[scanned_];
        const bool ends_crlf = byte == '\n' && after_cr_;
        after_cr_ = byte == '\r';
        if (ends_crlf) {
            continue;
        }
        const bool ends_line = byte == '\n' || byte == '\r';
        if (!ends_line || !at_line_start_) {
            at_line_start_ = ends_line;
            continue;
        }
        at_line_start_ = false;
        if (after_cr_ && pending_.compare(scanned_ + 1, 1, "\n") == 0) {
            after_cr_ = false;
            ++scanned_;
        }
        stream_event event{pending_.substr(begin, scanned_ + 1 - begin), std::nullopt};
        event.id = parse_event_id(event.bytes);
        events.push_back(std::move(event));
        begin = scanned_ + 1;
    }
    pending_.erase(0, begin);
    scanned_ = pending_.size();
    return events;
}

bool event_splitter::ends_within_event() const {
    std::string_view rest = pending_;
    while (!rest.empty()) {
        const auto line = next_line(rest);
        const bool is_whole = !rest.empty() || at_line_start_;
        if (!line.empty() && (line.front() != ':' || !is_whole)) {
            return true;
        }
    }
    return false;
}

// Framing doesn't show that an upstream wrote all: one that fails may still end its chunks in order.
bool is_broken_off(const ended_stream& stream) {
    const bool judged_by_events =
        stream.may_hold_events || stream.ended_with_connection || stream.continues_stream;
    return stream.within_event && judged_by_events;
}

} // namespace figspoke::relay
