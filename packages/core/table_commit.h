#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/error.h"
#include "core/table.h"
#include "core/table_edit.h"

namespace figspoke::core {

/// What the writer of an edit does next.
enum class commit_step { read, write, done };

/// How a compare-and-swap of the table was answered.
enum class write_answer {
    stored,
    /// The value has another version; this write had no effect.
    conflict,
    /// No clear answer came: the write may have taken effect, or may still do so.
    unclear,
};

/// An edit on its way into the key-value service. It does no I/O: the caller reads or writes the table as
/// `step` says and reports what came of it.
struct table_commit {
    std::vector<row_edit> edits;
    edit_origin origin;
    commit_step step = commit_step::read;
    /// The version of the value that `next` replaces; 0 where there is none.
    std::uint64_t expected_version = 0;
    /// The table to write.
    table next;
    /// Whether a write of this edit was sent whose effect is not known.
    bool in_doubt = false;
    /// At the end: why the edit is not stored.
    std::optional<error> failure;
    /// At the end: the revision that holds the edit.
    std::uint64_t revision = 0;
    /// At the end: whether the edit changed anything.
    bool changed = false;
};

/// Takes the table that was read and the version of its value. Ends with `conflict` where a row of the edit
/// changed since the operator saw it, with `bad_request` where a row breaks its schema, and with
/// `outcome_unknown` where the log no longer tells whether an unclear write took effect.
void on_table_read(table_commit& commit, const table& current, std::uint64_t version);

/// Takes the answer of a write.
void on_table_written(table_commit& commit, write_answer answer);

} // namespace figspoke::core
