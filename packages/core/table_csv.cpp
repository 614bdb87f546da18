#include "core/table_csv.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "core/csv.h"
#include "core/schema.h"

namespace figspoke::core {
namespace {

constexpr std::size_t key_columns = 3;

std::vector<std::string> header_cells() {
    std::vector<std::string> cells = {"kind", "name", "revision"};
    for (const auto& schema : row_schemas()) {
        for (const auto& column : schema.columns) {
            const std::string name(column.name);
            if (std::find(cells.begin(), cells.end(), name) == cells.end()) {
                cells.push_back(name);
            }
        }
    }
    return cells;
}

std::vector<std::string> row_cells(const row& value, const std::vector<std::string>& header) {
    std::vector<std::string> cells = {value.key.kind, value.key.name, std::to_string(value.revision)};
    for (std::size_t i = key_columns; i < header.size(); ++i) {
        const auto found = value.columns.find(header[i]);
        cells.push_back(found == value.columns.end() ? "" : found->second);
    }
    return cells;
}

tl::unexpected<error> line_error(std::size_t line, const std::string& what) {
    return fail(error_kind::bad_request, "line " + std::to_string(line) + ": " + what);
}

result<void> check_header(const std::vector<std::string>& header) {
    const std::vector<std::string> known = header_cells();
    std::set<std::string> seen;
    for (const auto& name : header) {
        if (!name.empty() && std::find(known.begin(), known.end(), name) == known.end()) {
            return line_error(1, "column \"" + name + "\" does not exist");
        }
        if (!name.empty() && !seen.insert(name).second) {
            return line_error(1, "column \"" + name + "\" stands twice");
        }
    }
    for (const char* name : {"kind", "name", "revision"}) {
        if (seen.count(name) == 0) {
            return line_error(1, std::string("column \"") + name + "\" is missing");
        }
    }
    return {};
}

// Returns 0 for an empty cell and nothing where the cell is no revision.
std::optional<std::uint64_t> read_revision(const std::string& cell) {
    std::uint64_t revision = 0;
    const char* end = cell.data() + cell.size();
    const auto read = std::from_chars(cell.data(), end, revision);
    if (!cell.empty() && (read.ec != std::errc() || read.ptr != end)) {
        return std::nullopt;
    }
    return revision;
}

result<row_edit> read_edit(const std::vector<std::string>& header, const std::vector<std::string>& cells,
                           std::size_t line) {
    row_edit edit;
    edit.columns.emplace();
    for (std::size_t i = 0; i < cells.size(); ++i) {
        if (i >= header.size()) {
            if (!cells[i].empty()) {
                return line_error(line, "there are more cells than columns");
            }
            continue;
        }
        if (header[i] == "kind") {
            edit.key.kind = cells[i];
        } else if (header[i] == "name") {
            edit.key.name = cells[i];
        } else if (header[i] == "revision") {
            const auto revision = read_revision(cells[i]);
            if (!revision) {
                return line_error(line, "column \"revision\" has the value \"" + cells[i] +
                                            "\"; accepted is a whole number, or nothing for a new row");
            }
            edit.seen_revision = *revision;
        } else if (!cells[i].empty()) {
            (*edit.columns)[header[i]] = cells[i];
        }
    }
    const row checked{edit.key, 0, *edit.columns};
    if (auto done = check_row(checked); !done) {
        return line_error(line, done.error().message);
    }
    return edit;
}

} // namespace

std::string render_table_csv(const table& value) {
    const auto header = header_cells();
    std::string text = render_csv_line(header);
    for (const auto& [key, entry] : value.rows) {
        text += render_csv_line(row_cells(entry, header));
    }
    return text;
}

result<std::vector<row_edit>> parse_table_csv(std::string_view text) {
    auto lines = parse_csv(text);
    if (!lines) {
        return tl::make_unexpected(lines.error());
    }
    if (lines->empty() || lines->front().empty()) {
        return line_error(1, "the header line is missing");
    }
    const auto& header = lines->front();
    if (auto checked = check_header(header); !checked) {
        return tl::make_unexpected(checked.error());
    }
    std::vector<row_edit> edits;
    std::set<row_key> seen;
    for (std::size_t i = 1; i < lines->size(); ++i) {
        if ((*lines)[i].empty()) {
            continue;
        }
        auto edit = read_edit(header, (*lines)[i], i + 1);
        if (!edit) {
            return tl::make_unexpected(edit.error());
        }
        if (!seen.insert(edit->key).second) {
            return line_error(i + 1, "row " + edit->key.kind + "/" + edit->key.name + " stands twice");
        }
        edits.push_back(std::move(*edit));
    }
    return edits;
}

} // namespace figspoke::core
