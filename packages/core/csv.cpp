#include "core/csv.h"

#include <algorithm>

namespace figspoke::core {
namespace {

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

// The first line holds column names, which contain no separators, so the one that occurs is the separator.
char detect_separator(std::string_view text) {
    const auto first = text.substr(0, text.find('\n'));
    for (const char candidate : {',', ';', '\t'}) {
        if (first.find(candidate) != std::string_view::npos) {
            return candidate;
        }
    }
    return ',';
}

class csv_parser {
  public:
    csv_parser(std::string_view text, char separator) : text_(text), separator_(separator) {}

    result<csv_lines> parse() {
        while (position_ < text_.size()) {
            if (auto done = parse_cell(); !done) {
                return tl::make_unexpected(done.error());
            }
        }
        if (!cells_.empty()) {
            end_line();
        }
        return std::move(lines_);
    }

  private:
    result<void> parse_cell() {
        std::string cell;
        if (peek() == '"') {
            if (auto done = parse_quoted(cell); !done) {
                return done;
            }
        } else {
            while (position_ < text_.size() && !at_cell_end()) {
                cell.push_back(text_[position_++]);
            }
        }
        cells_.push_back(std::move(cell));
        return end_cell();
    }

    result<void> parse_quoted(std::string& cell) {
        const std::size_t opened_at = line_;
        ++position_;
        while (position_ < text_.size()) {
            const char c = text_[position_++];
            if (c != '"') {
                line_ += c == '\n' ? 1 : 0;
                cell.push_back(c);
            } else if (peek() == '"') {
                cell.push_back(c);
                ++position_;
            } else {
                return {};
            }
        }
        return fail(error_kind::bad_request,
                    "line " + std::to_string(opened_at) + ": a quoted cell has no closing quote");
    }

    result<void> end_cell() {
        if (position_ >= text_.size()) {
            end_line();
            return {};
        }
        if (peek() == separator_) {
            ++position_;
            if (position_ == text_.size()) {
                cells_.emplace_back();
                end_line();
            }
            return {};
        }
        if (!at_cell_end()) {
            return fail(error_kind::bad_request,
                        "line " + std::to_string(line_) + ": characters follow a closing quote");
        }
        position_ += text_.substr(position_, 2) == "\r\n" ? 2 : 1;
        ++line_;
        end_line();
        return {};
    }

    void end_line() {
        const bool blank =
            std::all_of(cells_.begin(), cells_.end(), [](const std::string& cell) { return cell.empty(); });
        lines_.push_back(blank ? std::vector<std::string>() : std::move(cells_));
        cells_.clear();
    }

    char peek() const { return position_ < text_.size() ? text_[position_] : '\0'; }

    bool at_cell_end() const {
        const char c = peek();
        return c == separator_ || c == '\n' || c == '\r';
    }

    std::string_view text_;
    char separator_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
    std::vector<std::string> cells_;
    csv_lines lines_;
};

} // namespace

result<csv_lines> parse_csv(std::string_view text) {
    if (text.substr(0, byte_order_mark.size()) == byte_order_mark) {
        text.remove_prefix(byte_order_mark.size());
    }
    return csv_parser(text, detect_separator(text)).parse();
}

std::string render_csv_line(const std::vector<std::string>& cells) {
    std::string line;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        line += i == 0 ? "" : ",";
        if (cells[i].find_first_of(",;\t\"\r\n") == std::string::npos) {
            line += cells[i];
            continue;
        }
        line += '"';
        for (const char c : cells[i]) {
            line += c == '"' ? std::string("\"\"") : std::string(1, c);
        }
        line += '"';
    }
    return line + "\r\n";
}

} // namespace figspoke::core
