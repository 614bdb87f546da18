#include <doctest/doctest.h>

#include "state/journal_entry.h"
#include "state/journal_expiry.h"

using namespace figspoke::state;
using std::chrono::hours;

namespace {

order_claim claim_of(const std::string& request, const std::string& body = "body") {
    return {"order", "acme", body, request, "node-of-" + request};
}

order_result result_of(const std::string& request, order_state state) {
    return {"order", "acme", "body", request, "node-of-" + request, state, 200, "answer \xff\n"};
}

charge charge_of(const std::string& writer, std::uint64_t sequence, const std::string& key = "") {
    charge value;
    value.id = writer + std::to_string(sequence);
    value.account = "acme";
    value.key_id = key;
    value.micros = 10;
    value.writer = writer;
    value.sequence = sequence;
    return value;
}

entry_outcome apply(journal_shard& shard, const journal_entry& entry, const shard_limits& limits = {}) {
    apply_context context =
        make_apply_context(shard, limits, [](auto name) { return name == "node-of-dead"; });
    return apply_entry(shard, entry, context).outcome;
}

} // namespace

TEST_CASE("only one of two requests with the same key runs the order") {
    // Guards against an order that runs twice because a caller sent the same key to two nodes at once.
    journal_shard shard;
    CHECK(apply(shard, claim_of("r1")) == entry_outcome::applied);
    CHECK(apply(shard, claim_of("r2")) == entry_outcome::in_progress);
    CHECK(apply(shard, claim_of("r1")) == entry_outcome::duplicate);
    CHECK(apply(shard, claim_of("r2", "other body")) == entry_outcome::key_reused);
    CHECK(apply(shard, result_of("r1", order_state::completed)) == entry_outcome::applied);
    CHECK(apply(shard, result_of("r1", order_state::refused)) == entry_outcome::duplicate);
    apply_context context = make_apply_context(shard, {}, nullptr);
    const auto repeated = apply_entry(shard, claim_of("r3"), context);
    CHECK(repeated.outcome == entry_outcome::completed);
    CHECK(repeated.body == "answer \xff\n");
}

TEST_CASE("an order whose node has ended is never claimed again") {
    // Guards against a second run of an order that may already have run when its node failed.
    journal_shard shard;
    CHECK(apply(shard, claim_of("dead")) == entry_outcome::applied);
    CHECK(apply(shard, claim_of("r2")) == entry_outcome::outcome_unknown);
    CHECK(apply(shard, result_of("dead", order_state::unknown)) == entry_outcome::applied);
    CHECK(apply(shard, claim_of("r2")) == entry_outcome::outcome_unknown);
    CHECK(apply(shard, result_of("dead", order_state::completed)) == entry_outcome::applied);
    CHECK(apply(shard, claim_of("r2")) == entry_outcome::completed);
}

TEST_CASE("an order that was refused may be claimed by another request only") {
    // Guards against a late claim by a request that was already recorded as not run.
    journal_shard shard;
    CHECK(apply(shard, result_of("r1", order_state::refused)) == entry_outcome::applied);
    CHECK(apply(shard, claim_of("r1")) == entry_outcome::refused);
    CHECK(apply(shard, claim_of("r2")) == entry_outcome::applied);
    CHECK(apply(shard, result_of("r1", order_state::refused)) == entry_outcome::duplicate);
    CHECK(apply(shard, claim_of("r3")) == entry_outcome::in_progress);
}

TEST_CASE("a charge is recorded once for each sequence and each key") {
    // Guards against billing twice when an append is repeated or when two nodes run a request with the same
    // key.
    journal_shard shard;
    CHECK(apply(shard, charge_of("a", 1, "key")) == entry_outcome::applied);
    CHECK(apply(shard, charge_of("a", 1, "key")) == entry_outcome::duplicate);
    CHECK(apply(shard, charge_of("b", 1, "key")) == entry_outcome::duplicate);
    CHECK(apply(shard, charge_of("b", 4)) == entry_outcome::applied);
    CHECK(apply(shard, charge_of("b", 2)) == entry_outcome::applied);
    CHECK(apply(shard, charge_of("b", 4)) == entry_outcome::duplicate);
    CHECK(apply(shard, charge_of("b", 3)) == entry_outcome::applied);
    CHECK(shard.writers.at("b").contiguous == 4);
    CHECK(shard.writers.at("b").beyond.empty());
    CHECK(shard.totals.at("acme").micros == 40);
}

TEST_CASE("a full shard refuses claims and charges but accepts results") {
    // Guards against a value above the service's size limit, and against a result for which there is no room.
    shard_limits limits;
    limits.max_open_entries = 2;
    journal_shard shard;
    CHECK(apply(shard, claim_of("r1"), limits) == entry_outcome::applied);
    CHECK(apply(shard, charge_of("a", 1), limits) == entry_outcome::applied);
    order_claim other = claim_of("r2");
    other.order_id = "other";
    CHECK(apply(shard, other, limits) == entry_outcome::backlog_full);
    CHECK(apply(shard, charge_of("a", 2), limits) == entry_outcome::applied);
    CHECK(apply(shard, charge_of("a", 3), limits) == entry_outcome::backlog_full);
    limits.max_stored_body = 1;
    CHECK(apply(shard, result_of("r1", order_state::completed), limits) == entry_outcome::applied);
    CHECK(shard.orders.at("order").body_dropped);
}

TEST_CASE("a shard that is filled up to its limits fits the key-value service") {
    // Guards against a value that the service rejects for its size, after which no entry could be written.
    journal_shard shard;
    apply_context context = make_apply_context(shard, {}, nullptr);
    context.limits.max_open_entries = 100'000;
    order_result result = result_of("r", order_state::completed);
    result.body = std::string(16'000, '\x01');
    std::size_t refused = 0;
    for (std::uint64_t i = 0; i < 6000; ++i) {
        order_claim claim = claim_of("r" + std::to_string(i));
        claim.order_id = result.order_id = std::to_string(i);
        result.request_id = claim.request_id;
        refused += apply_entry(shard, claim, context).outcome == entry_outcome::backlog_full ? 1 : 0;
        apply_entry(shard, charge_of("w" + std::to_string(i), 1, std::to_string(i)), context);
        apply_entry(shard, result, context);
    }
    CHECK(refused > 0);
    const std::size_t full = encode_shard(shard).size();
    CHECK(full <= max_value_bytes);
    CHECK(full <= context.estimated_bytes);
    expire_records(shard, {});
    CHECK(encode_shard(shard).size() < full);
}

TEST_CASE("finished records expire after the idempotency window, counted while the shard has an owner") {
    // Guards against a record that is removed too early, and a claim that is removed while its order may run.
    journal_shard shard;
    apply(shard, claim_of("r1"));
    apply(shard, charge_of("a", 1, "key"));
    expiry_rules rules;
    advance_shard_clock(shard, hours(30));
    expire_records(shard, rules);
    CHECK(shard.orders.size() == 1);
    CHECK(shard.charged_keys.empty());
    CHECK(shard.writers.size() == 1);
    apply(shard, result_of("r1", order_state::completed));
    advance_shard_clock(shard, hours(23));
    expire_records(shard, rules);
    CHECK(shard.orders.size() == 1);
    advance_shard_clock(shard, hours(1));
    rules.has_ended = [](auto) { return true; };
    expire_records(shard, rules);
    CHECK(shard.orders.empty());
    CHECK(shard.writers.empty());
}
