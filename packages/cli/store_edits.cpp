#include "cli/store_edits.h"

#include <algorithm>
#include <thread>

#include "cli/kv_table.h"
#include "core/hash.h"

namespace figspoke::cli {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds retry_period{100};
// A short waiting time for acceptance must not cut off the read that follows an unclear answer.
constexpr std::chrono::milliseconds least_patience{5000};
constexpr std::size_t edit_id_bytes = 16;

core::result<void> read_once(core::table_commit& commit, std::string& newest_edit_id, const std::string& kv) {
    const auto stored = read_table(kv);
    if (!stored) {
        return tl::make_unexpected(stored.error());
    }
    newest_edit_id = stored->table.log.empty() ? "" : stored->table.log.back().edit_id;
    core::on_table_read(commit, stored->table, stored->version);
    return {};
}

core::result<void> write_once(core::table_commit& commit, const std::string& kv) {
    const auto answer = write_table(kv, commit.next, commit.expected_version);
    if (!answer) {
        return tl::make_unexpected(answer.error());
    }
    core::on_table_written(commit, *answer);
    return {};
}

core::error give_up(const core::table_commit& commit, const std::string& cause) {
    if (!commit.in_doubt) {
        return {core::error_kind::store_unavailable, cause, std::nullopt};
    }
    return {core::error_kind::outcome_unknown,
            "edit " + commit.origin.edit_id +
                " may or may not be stored; look for it in `figspoke table log` (" + cause + ")",
            std::nullopt};
}

core::result<void> run_step(core::table_commit& commit, std::string& newest_edit_id, const std::string& kv) {
    return commit.step == core::commit_step::read ? read_once(commit, newest_edit_id, kv)
                                                  : write_once(commit, kv);
}

} // namespace

core::result<stored_edit> store_edits(const options& flags, std::vector<core::row_edit> edits) {
    std::string newest_edit_id;
    core::table_commit commit;
    commit.edits = std::move(edits);
    commit.origin = {flags.author, core::random_hex(edit_id_bytes)};
    const auto start = clock::now();
    const auto limit = start + std::max(flags.wait, least_patience);
    std::optional<clock::time_point> write_sent;
    while (commit.step != core::commit_step::done) {
        if (commit.step == core::commit_step::write && !write_sent) {
            write_sent = clock::now();
        }
        const auto step = run_step(commit, newest_edit_id, flags.kv);
        if (!step && step.error().kind != core::error_kind::store_unavailable) {
            return tl::make_unexpected(step.error());
        }
        // A service that answers reads and refuses writes would otherwise be asked forever.
        if (commit.step != core::commit_step::done && clock::now() >= limit) {
            return tl::make_unexpected(
                give_up(commit, step ? "no write was answered in time" : step.error().message));
        }
        if (!step || commit.in_doubt) {
            std::this_thread::sleep_for(retry_period);
        }
    }
    if (commit.failure) {
        return tl::make_unexpected(*commit.failure);
    }
    if (commit.changed) {
        newest_edit_id = commit.origin.edit_id;
    }
    return stored_edit{std::move(commit), std::move(newest_edit_id), write_sent.value_or(start),
                       clock::now()};
}

} // namespace figspoke::cli
