#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "core/table_commit.h"

using namespace figspoke::core;

namespace {

const std::vector<std::string> names = {"a", "b", "c"};

row_key account(const std::string& name) {
    return {"account", name};
}

struct stored_write {
    std::string edit_id;
    table before;
    table after;
};

// The key-value service's entry, with every write that took effect and those still on their way.
struct store {
    struct late_write {
        table next;
        std::uint64_t expected;
    };
    table value;
    std::uint64_t version = 0;
    std::vector<stored_write> history;
    std::vector<late_write> late;

    bool swap(const table& next, std::uint64_t expected) {
        if (expected != version) {
            return false;
        }
        history.push_back({next.log.back().edit_id, value, next});
        value = next;
        ++version;
        return true;
    }

    void land_late_writes() {
        for (const auto& write : std::exchange(late, {})) {
            swap(write.next, write.expected);
        }
    }
};

// One operator: edits of one row each, the next one only when the last has ended.
struct operator_model {
    std::string author;
    int begun = 0;
    std::optional<table_commit> commit = std::nullopt;
    std::vector<table_commit> ended = {};
};

enum class fault { none, reply_lost, request_lost, arrives_late, late_writes_land };

struct turn {
    int who;
    int row;
    bool removes;
    fault what;
};

void begin_edit(operator_model& who, const store& kv, const turn& now) {
    const auto key = account(names.at(static_cast<std::size_t>(now.row)));
    const auto found = kv.value.rows.find(key);
    row_edit edit{key, found == kv.value.rows.end() ? 0 : found->second.revision, std::nullopt};
    if (!now.removes) {
        edit.columns = {
            {"key_sha256", "00"}, {"allowed", "m"}, {"weight", std::to_string(1 + who.begun % 9)}};
    }
    who.commit.emplace();
    who.commit->edits = {edit};
    who.commit->origin = {who.author, who.author + std::to_string(who.begun++)};
}

write_answer write_with(store& kv, const table_commit& commit, fault what) {
    if (what == fault::arrives_late) {
        kv.late.push_back({commit.next, commit.expected_version});
        return write_answer::unclear;
    }
    if (what == fault::request_lost) {
        return write_answer::unclear;
    }
    const bool stored = kv.swap(commit.next, commit.expected_version);
    if (what == fault::reply_lost) {
        return write_answer::unclear;
    }
    return stored ? write_answer::stored : write_answer::conflict;
}

void take_turn(operator_model& who, store& kv, const turn& now) {
    if (now.what == fault::late_writes_land) {
        kv.land_late_writes();
    }
    if (!who.commit) {
        begin_edit(who, kv, now);
    } else if (who.commit->step == commit_step::read) {
        on_table_read(*who.commit, kv.value, kv.version);
    } else {
        on_table_written(*who.commit, write_with(kv, *who.commit, now.what));
    }
    if (who.commit->step == commit_step::done) {
        who.ended.push_back(std::move(*who.commit));
        who.commit.reset();
    }
}

void finish_all(std::vector<operator_model>& operators, store& kv) {
    for (auto& who : operators) {
        while (who.commit) {
            take_turn(who, kv, {0, 0, false, fault::none});
        }
    }
    kv.land_late_writes();
}

// Nothing is lost where each write saw the row as it was and left all other rows alone.
void check_history(const store& kv) {
    table last;
    for (const auto& write : kv.history) {
        RC_ASSERT(encode_table(write.before) == encode_table(last));
        RC_ASSERT(write.after.revision == write.before.revision + 1);
        const auto& changed = write.after.log.back().key;
        for (const auto& name : names) {
            const auto key = account(name);
            const bool same = write.before.rows.count(key) == write.after.rows.count(key) &&
                              (write.before.rows.count(key) == 0 ||
                               write.before.rows.at(key).revision == write.after.rows.at(key).revision);
            RC_ASSERT(same || key == changed);
        }
        last = write.after;
    }
    RC_ASSERT(encode_table(last) == encode_table(kv.value));
}

const stored_write* write_of(const store& kv, const std::string& edit_id) {
    const stored_write* found = nullptr;
    for (const auto& write : kv.history) {
        if (write.edit_id == edit_id) {
            RC_ASSERT(found == nullptr);
            found = &write;
        }
    }
    return found;
}

void check_told(const store& kv, const operator_model& who) {
    for (const auto& commit : who.ended) {
        const auto* write = write_of(kv, commit.origin.edit_id);
        const bool told_stored = !commit.failure && commit.changed;
        RC_ASSERT((write != nullptr) == told_stored);
        if (write == nullptr) {
            continue;
        }
        RC_ASSERT(write->after.revision == commit.revision);
        const auto& edit = commit.edits.front();
        const auto seen = write->before.rows.find(edit.key);
        RC_ASSERT((seen == write->before.rows.end() ? 0 : seen->second.revision) == edit.seen_revision);
        RC_ASSERT(write->after.rows.count(edit.key) == (edit.columns ? 1U : 0U));
    }
}

rc::Gen<turn> any_turn(int operators) {
    return rc::gen::construct<turn>(
        rc::gen::inRange(0, operators), rc::gen::inRange(0, static_cast<int>(names.size())),
        rc::gen::map(rc::gen::inRange(0, 4), [](int value) { return value == 0; }),
        rc::gen::map(rc::gen::inRange(0, 8),
                     [](int value) { return static_cast<fault>(value > 4 ? 0 : value); }));
}

} // namespace

TEST_CASE("operators who race lose no edit, apply none twice and are told the truth") {
    // Guards against an edit that overwrites one its operator never saw, that is stored a second time after a
    // lost reply, or that arrives after its operator was told that it failed.
    CHECK(rc::check("table commits under conflicts and lost replies", [] {
        const int count = *rc::gen::inRange(2, 4);
        const auto turns = *rc::gen::scale(3, rc::gen::container<std::vector<turn>>(any_turn(count)));
        std::vector<operator_model> operators;
        operators.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            operators.push_back({"op" + std::to_string(i) + "-"});
        }
        store kv;
        for (const auto& now : turns) {
            take_turn(operators.at(static_cast<std::size_t>(now.who)), kv, now);
        }
        finish_all(operators, kv);
        check_history(kv);
        for (const auto& who : operators) {
            check_told(kv, who);
        }
    }));
}

TEST_CASE("an edit of another row is applied again, one of the same row is told by whom it was changed") {
    // Guards against a refusal where nothing collides, and against one that names no author.
    store kv;
    operator_model ann{"ann-"};
    operator_model bob{"bob-"};
    operator_model cid{"cid-"};
    for (auto* who : {&ann, &bob, &cid}) {
        begin_edit(*who, kv, {0, who == &bob ? 1 : 0, false, fault::none});
        who->commit->edits.front().columns->at("weight") = who == &cid ? "7" : "2";
        take_turn(*who, kv, {0, 0, false, fault::none});
    }
    std::vector<operator_model> operators = {ann, bob, cid};
    finish_all(operators, kv);
    CHECK(operators[0].ended.front().revision == 1);
    CHECK(operators[1].ended.front().revision == 2);
    REQUIRE(operators[2].ended.front().failure);
    CHECK(operators[2].ended.front().failure->kind == error_kind::conflict);
    CHECK(operators[2].ended.front().failure->message ==
          "row account/a was changed by ann- at revision 1; it is now: allowed=m, key_sha256=00, weight=2");
}

TEST_CASE("a write in doubt that the log no longer covers is not repeated") {
    // Guards against a blind second write after more changes than the log keeps.
    store kv;
    operator_model ann{"ann-"};
    begin_edit(ann, kv, {0, 0, false, fault::none});
    take_turn(ann, kv, {0, 0, false, fault::none});
    take_turn(ann, kv, {0, 0, false, fault::reply_lost});
    for (std::size_t i = 0; i < max_table_log; ++i) {
        operator_model bob{"bob" + std::to_string(i) + "-", static_cast<int>(i)};
        begin_edit(bob, kv, {0, 1, false, fault::none});
        std::vector<operator_model> one = {bob};
        finish_all(one, kv);
    }
    std::vector<operator_model> last = {ann};
    finish_all(last, kv);
    REQUIRE(last[0].ended.front().failure);
    CHECK(last[0].ended.front().failure->kind == error_kind::outcome_unknown);
    CHECK(kv.history.size() == max_table_log + 1);
}
