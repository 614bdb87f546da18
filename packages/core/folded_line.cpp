#include "core/folded_line.h"

namespace figspoke::core {

bool has_folded_line(std::string_view received) {
    constexpr std::string_view line_end = "\r\n";
    for (auto end = received.find(line_end); end != std::string_view::npos;
         end = received.find(line_end, end)) {
        end += line_end.size();
        if (end >= received.size() || received.substr(end, line_end.size()) == line_end) {
            return false;
        }
        if (received[end] == ' ' || received[end] == '\t') {
            return true;
        }
    }
    return false;
}

} // namespace figspoke::core
