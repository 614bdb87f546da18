#include "cli/table_rm.h"

#include "cli/finish_edit.h"
#include "cli/kv_table.h"
#include "cli/row_words.h"

namespace figspoke::cli {

outcome table_rm(const options& flags, const words& given) {
    if (given.size() != 1) {
        return failed(exit_code::usage,
                      "table rm needs one row, such as `figspoke table rm version/small@1`");
    }
    const auto key = parse_row_key(given[0]);
    if (!key) {
        return failed(key.error());
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    const auto found = stored->table.rows.find(*key);
    if (found == stored->table.rows.end()) {
        return failed(exit_code::refused, "row " + to_string(*key) + " does not exist");
    }
    return finish_edit(flags, {{*key, found->second.revision, std::nullopt}});
}

} // namespace figspoke::cli
