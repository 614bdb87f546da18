#include "cli/table_set.h"

#include "cli/finish_edit.h"
#include "cli/kv_table.h"
#include "cli/row_words.h"

namespace figspoke::cli {

outcome table_set(const options& flags, const words& given) {
    if (given.size() < 2) {
        return failed(exit_code::usage, "table set needs a row and a column, such as "
                                        "`figspoke table set account/acme weight=2`");
    }
    const auto key = parse_row_key(given[0]);
    if (!key) {
        return failed(key.error());
    }
    const auto columns = parse_columns(key->kind, given);
    if (!columns) {
        return failed(columns.error());
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    core::row_edit edit{*key, 0, std::map<std::string, std::string>()};
    const auto found = stored->table.rows.find(*key);
    if (found != stored->table.rows.end()) {
        edit.seen_revision = found->second.revision;
        edit.columns = found->second.columns;
    }
    for (const auto& [name, value] : *columns) {
        (*edit.columns)[name] = value;
    }
    return finish_edit(flags, {edit});
}

} // namespace figspoke::cli
