#include <functional>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "core/hash.h"
#include "node/charge_service.h"
#include "node/config_table.h"
#include "node/evidence_codec.h"
#include "node/evidence_table.h"
#include "node/upstream_table.h"

// Run under ThreadSanitizer in CI: the tables that a node's workers share, without coroutines, which
// ThreadSanitizer can't follow.

using namespace figspoke;
using namespace figspoke::node;

namespace {

constexpr int worker_count = 4;
constexpr int rounds = 300;

void run_workers(const std::function<void(int worker, int round)>& work) {
    std::vector<std::thread> workers;
    workers.reserve(worker_count);
    for (int worker = 0; worker < worker_count; ++worker) {
        workers.emplace_back([&work, worker] {
            for (int round = 0; round < rounds; ++round) {
                work(worker, round);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
}

core::steady_time at(int ms) {
    return core::steady_time(std::chrono::hours(1) + std::chrono::milliseconds(ms));
}

core::table table_at(std::uint64_t revision) {
    core::table table;
    table.revision = revision;
    const core::row_key key{"upstream", "u1"};
    table.rows[key] = {
        key, revision, {{"address", "127.0.0.1:1"}, {"failure_domain", "a"}, {"versions", "m@1"}}};
    return table;
}

} // namespace

TEST_CASE("a table that several workers apply never goes back") {
    // Guards against a lower revision in force, and against an unguarded read of the configuration.
    config_table config;
    run_workers([&](int worker, int round) {
        const auto before = current_revision(config);
        const auto revision = static_cast<std::uint64_t>(1 + (round * 7 + worker * 13) % rounds);
        CHECK(apply_peer_table(config, revision, core::encode_table(table_at(revision))).has_value());
        CHECK(current_revision(config) >= std::max(before, revision));
        CHECK(current_table(config).encoded != nullptr);
    });
    CHECK(current_revision(config) == rounds);
}

TEST_CASE("the work on an upstream is counted exactly while workers start and end requests") {
    // Guards against lost updates, which would make an upstream look busy or free for ever.
    upstream_table upstreams;
    const auto config = core::build_snapshot(table_at(1)).value();
    run_workers([&](int worker, int round) {
        const std::string id = std::to_string(worker) + "-" + std::to_string(round);
        record_start(upstreams, "u1", id, {"fingerprint", false, 0}, at(round));
        CHECK(candidates_for_version(upstreams, config, "m@1", "prefix", at(round)).size() == 1);
        record_end(upstreams, "u1", id, upstream_result::succeeded, at(round));
    });
    CHECK(upstreams.entries.at("u1").own.in_flight == 0);
    CHECK(upstreams.entries.at("u1").running.empty());
}

TEST_CASE("evidence counts every outcome while it is encoded and merged") {
    // Guards against lost counts, which would delay the stop of a bad version.
    evidence_table evidence;
    run_workers([&](int worker, int round) {
        record_version_outcome(evidence, "n1/a", {"m@1", "general"}, round % 2 == 0, false);
        record_upstream_crash(evidence, "n1/a", "u" + std::to_string(worker), {{"f", true, 0}}, at(round));
        const std::lock_guard lock(evidence.mutex);
        const auto encoded = encode_evidence(evidence, {"n1/a"}, at(round));
        CHECK(merge_evidence(evidence, encoded, at(round)).empty());
    });
    const auto& counts = evidence.versions.sources.at("n1/a").at({"m@1", "general"});
    CHECK(counts.answered + counts.failed == worker_count * rounds);
}

TEST_CASE("reservations of charges are all given back") {
    // Guards against a leak that would end in refusing all work with unsettled_limit.
    charge_service charges;
    run_workers([&](int, int) {
        auto room = reserve_charge(charges);
        REQUIRE(room);
        const charge_reservation moved = std::move(*room);
    });
    CHECK(charges.held.reserved == 0);
    CHECK(charges.held.charges == 0);
}
