#include "cli/table_export.h"

#include "cli/kv_table.h"
#include "core/table_csv.h"

namespace figspoke::cli {

outcome table_export(const options& flags, const words& given) {
    if (!given.empty()) {
        return failed(exit_code::usage, "\"" + given[0] +
                                            "\" is not accepted; table export prints to standard "
                                            "output: `figspoke table export > rows.csv`");
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    const auto csv = core::render_table_csv(stored->table);
    return {exit_code::done, csv, {{"revision", stored->table.revision}, {"csv", csv}}};
}

} // namespace figspoke::cli
