#include <doctest/doctest.h>

#include "state/journal_writer.h"
#include "support/journal_simulation.h"

using namespace figspoke::state;
using figspoke::core::milliseconds;
using figspoke::core::steady_time;
using figspoke::test::stored_value;

namespace {

// The key-value service: the shard's value and the ledger pages.
struct service {
    stored_value shard;
    std::map<std::uint64_t, std::string> pages;
};

journal_writer writer_of(const std::string& owner) {
    writer_settings settings;
    settings.owner = owner;
    settings.seal_above = 2;
    settings.max_page_charges = 2;
    settings.max_waiting = 3;
    return make_journal_writer(settings, nullptr);
}

journal_entry claim_of(const std::string& request) {
    return order_claim{"order", "acme", "body", request, "node"};
}

journal_entry charge_of(std::uint64_t sequence) {
    charge value;
    value.account = "acme";
    value.micros = 10;
    value.writer = "node";
    value.sequence = sequence;
    return value;
}

// Carries out one call and reports its end to the writer.
void perform(journal_writer& writer, service& kv, const writer_action& action, steady_time now) {
    if (action.call == writer_call::read_shard) {
        const bool absent = kv.shard.version == 0;
        on_value(writer, absent ? std::nullopt : std::optional<std::string>(kv.shard.text), kv.shard.version,
                 now);
    } else if (action.call == writer_call::write_shard && kv.shard.version == action.expected_version) {
        kv.shard = {action.text, kv.shard.version + 1};
        on_written(writer, kv.shard.version, now);
    } else if (action.call == writer_call::create_page && kv.pages.emplace(action.page, action.text).second) {
        on_written(writer, 1, now);
    } else if (action.call == writer_call::read_page) {
        on_value(writer, kv.pages.at(action.page), 1, now);
    } else {
        on_conflict(writer, now);
    }
}

void run(journal_writer& writer, service& kv, steady_time now) {
    for (auto action = next_action(writer, now); action.call != writer_call::wait;
         action = next_action(writer, now)) {
        perform(writer, kv, action, now);
    }
}

journal_writer owner_of(service& kv, const std::string& owner, steady_time now) {
    journal_writer writer = writer_of(owner);
    acquire_shard(writer);
    run(writer, kv, now);
    REQUIRE(writer.phase == writer_phase::owner);
    return writer;
}

} // namespace

TEST_CASE("a claim whose write got no reply is found by its batch id and not written again") {
    // Guards against a claim that is written a second time, or reported as not written, after its reply was
    // lost.
    service kv;
    const steady_time now;
    journal_writer writer = owner_of(kv, "a", now);
    REQUIRE(submit_entry(writer, 7, claim_of("r1"), now) == submit_result::accepted);
    const auto write = next_action(writer, now);
    REQUIRE(write.call == writer_call::write_shard);
    kv.shard = {write.text, kv.shard.version + 1};
    on_reply_lost(writer, now);
    CHECK(next_action(writer, now).call == writer_call::wait);
    CHECK(take_finished(writer).empty());
    run(writer, kv, now + milliseconds(20));
    const auto finished = take_finished(writer);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].disposition == entry_disposition::settled);
    CHECK(finished[0].result.outcome == entry_outcome::applied);
    CHECK(kv.shard.version == 2);
}

TEST_CASE("a paused owner that resumes after a takeover writes nothing") {
    // Guards against a former owner that confirms a claim after its successor has taken over.
    service kv;
    const steady_time now;
    journal_writer paused = owner_of(kv, "a", now);
    submit_entry(paused, 1, claim_of("r1"), now);
    const auto delayed_write = next_action(paused, now);
    submit_entry(paused, 2, charge_of(1), now);
    journal_writer next = owner_of(kv, "b", now);
    submit_entry(next, 3, claim_of("r2"), now);
    run(next, kv, now);
    perform(paused, kv, delayed_write, now);
    run(paused, kv, now);
    CHECK(paused.phase == writer_phase::idle);
    const auto finished = take_finished(paused);
    REQUIRE(finished.size() == 2);
    CHECK(finished[0].disposition == entry_disposition::settled);
    CHECK(finished[0].result.outcome == entry_outcome::in_progress);
    CHECK(finished[1].disposition == entry_disposition::not_owner);
    CHECK(decode_shard(kv.shard.text)->orders.at("order").request_id == "r2");
    CHECK(submit_entry(paused, 4, claim_of("r3"), now) == submit_result::not_owner);
}

TEST_CASE("an owner writes again what the key-value service lost, and an order in it isn't claimed twice") {
    // Guards against an order that runs again after the service came back from an older copy.
    service kv;
    const steady_time start(milliseconds(0));
    auto owner = owner_of(kv, "owner", start);
    const auto claim = [&](std::uint64_t ticket, const std::string& order, const std::string& request) {
        CHECK(submit_entry(owner, ticket, order_claim{order, "acme", "body", request, "node"}, start) ==
              submit_result::accepted);
        run(owner, kv, start);
        const auto finished = take_finished(owner);
        REQUIRE(finished.size() == 1);
        CHECK(finished.front().disposition == entry_disposition::settled);
        return finished.front().result.outcome;
    };
    for (const bool absent : {false, true}) {
        const std::string round = absent ? "absent" : "older";
        const service copy = absent ? service{} : kv;
        CHECK(claim(1, round, "first") == entry_outcome::applied);
        kv = copy;
        CHECK(claim(2, round + " next", "second") == entry_outcome::applied);
        CHECK(owner.phase == writer_phase::owner);
        CHECK(claim(3, round, "repeat") == entry_outcome::in_progress);
        CHECK(decode_shard(kv.shard.text)->orders.count(round) == 1);
    }
}

TEST_CASE("an owner doesn't write over a successor's value whose version is lower than its own") {
    // Guards against entries of a new owner that are lost, as the service came back before the takeover.
    service kv;
    const steady_time start(milliseconds(0));
    const service copy = kv;
    auto earlier = owner_of(kv, "earlier", start);
    for (std::uint64_t i = 0; i < 2; ++i) {
        submit_entry(earlier, i, order_claim{std::to_string(i), "acme", "body", "request", "node"}, start);
        run(earlier, kv, start);
    }
    kv = copy;
    auto later = owner_of(kv, "later", start);
    submit_entry(earlier, 5, claim_of("late"), start);
    run(earlier, kv, start);
    CHECK(earlier.phase == writer_phase::idle);
    CHECK(decode_shard(kv.shard.text)->owner == "later");
}

TEST_CASE("a crash between sealing and removal neither loses nor doubles charges") {
    // Guards against a new owner that seals charges of an already written page into a second page.
    service kv;
    const steady_time now;
    journal_writer crashed = owner_of(kv, "a", now);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        submit_entry(crashed, i, charge_of(i), now);
    }
    const steady_time later = now + milliseconds(250);
    perform(crashed, kv, next_action(crashed, later), later);
    const auto seal = next_action(crashed, later);
    REQUIRE(seal.call == writer_call::create_page);
    perform(crashed, kv, seal, later);
    journal_writer next = owner_of(kv, "b", later);
    for (std::uint64_t i = 1; i <= 3; ++i) {
        submit_entry(next, i, charge_of(i), later);
    }
    run(next, kv, later + milliseconds(250));
    const auto shard = decode_shard(kv.shard.text);
    REQUIRE(shard->charges.size() == 1);
    CHECK(shard->charges[0].sequence == 3);
    CHECK(shard->next_page == 2);
    CHECK(kv.pages.size() == 1);
    CHECK(decode_ledger_page(kv.pages.at(1))->charges.size() == 2);
    CHECK(shard->totals.at("acme").charges == 3);
}

TEST_CASE("a value near its size limit is sealed early") {
    // Guards against charges that are refused permanently because orders fill the value.
    service kv;
    const steady_time now;
    journal_writer writer = owner_of(kv, "a", now);
    writer.settings.seal_above = 10;
    writer.settings.limits.claim_bytes = 100;
    submit_entry(writer, 1, charge_of(1), now);
    submit_entry(writer, 2, charge_of(2), now);
    run(writer, kv, now + milliseconds(250));
    CHECK(kv.pages.size() == 1);
    CHECK(decode_shard(kv.shard.text)->charges.empty());
}

TEST_CASE("claims are written at once, charges wait for the delay, and waiting entries are bounded") {
    // Guards against one write for each charge, a claim that is delayed, and unbounded memory use in an
    // outage.
    service kv;
    const steady_time now;
    journal_writer writer = owner_of(kv, "a", now);
    submit_entry(writer, 1, charge_of(1), now);
    const auto wait = next_action(writer, now);
    CHECK(wait.call == writer_call::wait);
    CHECK(wait.until == now + milliseconds(250));
    submit_entry(writer, 2, claim_of("r1"), now);
    submit_entry(writer, 3, charge_of(2), now);
    CHECK(submit_entry(writer, 4, charge_of(3), now) == submit_result::full);
    CHECK(withdraw_entry(writer, 3));
    CHECK(next_action(writer, now).call == writer_call::write_shard);
    CHECK_FALSE(withdraw_entry(writer, 2));
}
