#include "cli/table_log.h"

#include "cli/kv_table.h"
#include "cli/row_words.h"

namespace figspoke::cli {

outcome table_log(const options& flags, const words& given) {
    if (given.size() > 1) {
        return failed(exit_code::usage, "\"" + given[1] + "\" is one word too many for table log");
    }
    const auto stored = read_table(flags.kv);
    if (!stored) {
        return failed(stored.error());
    }
    outcome told;
    told.data = {{"revision", stored->table.revision}, {"log", nlohmann::json::array()}};
    for (const auto& change : stored->table.log) {
        const auto row = to_string(change.key);
        if (!given.empty() && given[0] != row) {
            continue;
        }
        told.text += std::to_string(change.revision) + "  " + change.action + "  " + row + "  by " +
                     change.author + "  edit " + change.edit_id + "\n";
        told.data["log"].push_back({{"revision", change.revision},
                                    {"row", row},
                                    {"action", change.action},
                                    {"author", change.author},
                                    {"edit_id", change.edit_id}});
    }
    if (told.text.empty()) {
        told.text = "no change is logged\n";
    }
    return told;
}

} // namespace figspoke::cli
