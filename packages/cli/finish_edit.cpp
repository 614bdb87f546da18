#include "cli/finish_edit.h"

#include "cli/await_edit.h"

namespace figspoke::cli {
namespace {

std::string join(const std::vector<std::string>& items) {
    std::string joined;
    for (const auto& item : items) {
        joined += (joined.empty() ? "" : ", ") + item;
    }
    return joined;
}

std::string describe_accepted(const edit_progress& progress) {
    std::string text = "accepted on " + std::to_string(progress.confirmed.size()) + " nodes after " +
                       std::to_string(progress.elapsed.count()) + " ms (" + join(progress.confirmed) + ")\n";
    if (!progress.waiting_for.empty()) {
        text += "unreachable, take the table before they serve again: " + join(progress.waiting_for) + "\n";
    }
    return text;
}

std::string describe_lost(const core::table_commit& commit) {
    return "lost: the key-value service came back from an older copy without edit " + commit.origin.edit_id +
           "; store it again\n";
}

std::string describe_pending(const edit_progress& progress) {
    std::string text = "stored and not yet accepted after " + std::to_string(progress.elapsed.count()) +
                       " ms; it takes effect without further action\n";
    if (!progress.failure.empty()) {
        return text + progress.failure + "\n";
    }
    return text + "waiting for: " + join(progress.waiting_for) + "\n";
}

exit_code code_of(const edit_progress& progress) {
    if (progress.lost) {
        return exit_code::lost;
    }
    return progress.accepted ? exit_code::done : exit_code::pending;
}

std::string describe_progress(const core::table_commit& commit, const edit_progress& progress) {
    if (progress.lost) {
        return describe_lost(commit);
    }
    return progress.accepted ? describe_accepted(progress) : describe_pending(progress);
}

outcome describe(const core::table_commit& commit, const edit_progress& progress) {
    outcome told;
    told.code = code_of(progress);
    told.text = (commit.changed
                     ? "stored at revision " + std::to_string(commit.revision)
                     : "nothing to change; the table stays at revision " + std::to_string(commit.revision)) +
                "\n" + describe_progress(commit, progress);
    told.data = {{"revision", commit.revision},
                 {"changed", commit.changed},
                 {"edit_id", commit.origin.edit_id},
                 {"accepted", progress.accepted},
                 {"lost", progress.lost},
                 {"accepted_after_ms", progress.elapsed.count()},
                 {"confirmed", progress.confirmed},
                 {"waiting_for", progress.waiting_for}};
    if (!progress.failure.empty()) {
        told.data["error"] = progress.failure;
    }
    return told;
}

} // namespace

std::string missing_edit_flag(const options& flags) {
    if (flags.kv.empty()) {
        return "--kv IP:port is missing: the address of the key-value service";
    }
    if (flags.node.empty() && flags.wait.count() > 0) {
        return "--node IP:port is missing: the node that tells when the edit is accepted (with --wait_ms=0 "
               "the edit is only stored)";
    }
    return "";
}

outcome finish_edit(const options& flags, std::vector<core::row_edit> edits) {
    const auto stored = store_edits(flags, std::move(edits));
    if (!stored) {
        return failed(stored.error());
    }
    edit_progress progress;
    if (flags.node.empty()) {
        progress.failure = "no node was asked, since --node is not given";
    } else {
        progress = await_edit(flags, *stored);
    }
    return describe(stored->commit, progress);
}

} // namespace figspoke::cli
