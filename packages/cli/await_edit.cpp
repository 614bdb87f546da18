#include "cli/await_edit.h"

#include <thread>

#include <nlohmann/json.hpp>

#include "cli/kv_table.h"
#include "cli/node_call.h"
#include "core/table_edit.h"

namespace figspoke::cli {
namespace {

using clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::chrono::milliseconds poll_period{25};

std::chrono::milliseconds since(clock::time_point start) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start);
}

// The node is told the least age that the edit can have: a higher one could end its wait for nodes that are
// unreachable too early.
void ask_once(edit_progress& progress, const options& flags, const stored_edit& edit) {
    const auto age = since(edit.known_at);
    const auto answer = get_json(flags.node, "/admin/edit?revision=" + std::to_string(edit.commit.revision) +
                                                 "&age_ms=" + std::to_string(age.count()) +
                                                 "&edit_id=" + edit.newest_edit_id);
    progress.elapsed = since(edit.write_sent);
    progress.failure = answer ? "" : answer.error().message;
    if (!answer) {
        return;
    }
    try {
        progress.accepted = answer->at("accepted").get<bool>();
        progress.confirmed = answer->at("confirmed").get<std::vector<std::string>>();
        progress.waiting_for = answer->at("waiting_for").get<std::vector<std::string>>();
    } catch (const json::exception& failure) {
        progress.failure = "node " + flags.node + " gave a malformed answer: " + failure.what();
    }
}

// A full log that begins after the edit has dropped it, so that its absence says nothing.
bool is_lost(const options& flags, const stored_edit& edit) {
    const auto stored = read_table(flags.kv);
    if (!stored || !edit.commit.changed || core::has_edit(stored->table, edit.commit.origin.edit_id)) {
        return false;
    }
    const auto& log = stored->table.log;
    return log.size() < core::max_table_log || log.front().revision <= edit.commit.revision;
}

} // namespace

edit_progress await_edit(const options& flags, const stored_edit& edit) {
    edit_progress progress;
    ask_once(progress, flags, edit);
    while (!progress.accepted && since(edit.known_at) < flags.wait) {
        std::this_thread::sleep_for(poll_period);
        ask_once(progress, flags, edit);
    }
    progress.lost = !progress.accepted && is_lost(flags, edit);
    return progress;
}

} // namespace figspoke::cli
