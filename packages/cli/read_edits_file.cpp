#include "cli/read_edits_file.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include "core/table_csv.h"

namespace figspoke::cli {

core::result<std::vector<core::row_edit>> read_edits_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return core::fail(core::error_kind::bad_request, "file " + path + ": " + std::strerror(errno));
    }
    auto edits = core::parse_table_csv(text.str());
    if (!edits) {
        return core::fail(edits.error().kind, "file " + path + ": " + edits.error().message);
    }
    return edits;
}

} // namespace figspoke::cli
