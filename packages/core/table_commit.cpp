#include "core/table_commit.h"

#include <algorithm>

namespace figspoke::core {
namespace {

void finish(table_commit& commit, std::uint64_t revision, bool changed) {
    commit.step = commit_step::done;
    commit.revision = revision;
    commit.changed = changed;
}

void finish(table_commit& commit, error failure) {
    commit.step = commit_step::done;
    commit.failure = std::move(failure);
}

std::uint64_t revision_of_edit(const table& value, const std::string& edit_id) {
    const auto found = std::find_if(value.log.begin(), value.log.end(),
                                    [&](const table_change& change) { return change.edit_id == edit_id; });
    return found == value.log.end() ? 0 : found->revision;
}

// A write in doubt would have become revision `written`. A full log that begins later may have dropped it.
bool log_reaches(const table& value, std::uint64_t written) {
    return value.log.size() < max_table_log || value.log.front().revision <= written;
}

// At the same version the write in doubt may still arrive. The next write names that version too, so at most
// one of them takes effect. At another version it can't arrive any more. Returns false where nothing tells
// whether it did.
bool resolve_doubt(table_commit& commit, const table& current, std::uint64_t version) {
    if (!commit.in_doubt || version == commit.expected_version) {
        return true;
    }
    commit.in_doubt = !log_reaches(current, commit.next.revision);
    return !commit.in_doubt;
}

} // namespace

void on_table_read(table_commit& commit, const table& current, std::uint64_t version) {
    if (const auto revision = revision_of_edit(current, commit.origin.edit_id); revision != 0) {
        finish(commit, revision, true);
        return;
    }
    if (!resolve_doubt(commit, current, version)) {
        finish(commit, {error_kind::outcome_unknown,
                        "the log no longer tells whether edit " + commit.origin.edit_id + " was stored",
                        std::nullopt});
        return;
    }
    auto next = apply_edits(current, commit.edits, commit.origin);
    if (!next) {
        finish(commit, next.error());
        return;
    }
    if (next->revision == current.revision) {
        finish(commit, current.revision, false);
        return;
    }
    commit.next = std::move(*next);
    commit.expected_version = version;
    commit.step = commit_step::write;
}

void on_table_written(table_commit& commit, write_answer answer) {
    if (answer == write_answer::stored) {
        finish(commit, commit.next.revision, true);
        return;
    }
    commit.in_doubt = commit.in_doubt || answer == write_answer::unclear;
    commit.step = commit_step::read;
}

} // namespace figspoke::core
