#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "node/config_table.h"
#include "state/store_position.h"
#include "state/table_freshness.h"

using namespace figspoke;
using namespace figspoke::node;
using namespace std::chrono_literals;

namespace {

core::table table_of(std::uint64_t revision, int content) {
    core::table table;
    table.revision = revision;
    const core::row_key key{"upstream", "u" + std::to_string(content)};
    table.rows[key] = {
        key, revision, {{"address", "127.0.0.1:1"}, {"failure_domain", "a"}, {"versions", "m@1"}}};
    return table;
}

// A read of the key-value service whose answer is still under way.
struct pending_read {
    std::uint64_t known = 0;
    core::steady_time sent;
    std::string answer;
};

struct sim_node {
    config_table config;
    state::table_freshness freshness;
    std::optional<pending_read> read;
    bool reads_service = false;
};

// Nodes, some of which read the key-value service, and which tell each other of their tables late, repeatedly
// or never.
struct sim_fleet {
    std::mt19937 random;
    std::vector<std::unique_ptr<sim_node>> nodes;
    std::uint64_t revision = 1;
    int content = 0;
    int next_content = 1;
    std::uint64_t copied_revision = 1;
    int copied_content = 0;
    core::steady_time now{1000s};

    explicit sim_fleet(unsigned seed) : random(seed) {
        const int count = 3 + pick(6);
        for (int i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<sim_node>());
            nodes.back()->reads_service = i < 2;
        }
    }

    int pick(int below) { return static_cast<int>(random() % static_cast<unsigned>(below)); }
    sim_node& any_node() { return *nodes.at(static_cast<std::size_t>(pick(static_cast<int>(nodes.size())))); }
    std::string stored() const { return core::encode_table(table_of(revision, content)); }

    static void raise(sim_node& node) {
        const auto before = node.freshness.revision;
        const auto position = current_table(node.config).position;
        CHECK(position >= before);
        state::raise_revision(node.freshness, position);
    }

    void send_read(sim_node& node) {
        const auto own = current_table(node.config).position;
        node.read = pending_read{std::max(own, node.freshness.peer_revision), now, stored()};
    }

    void receive_read(sim_node& node) {
        if (!node.read) {
            return;
        }
        const auto update = apply_stored_table(node.config, node.read->known, node.read->answer);
        REQUIRE(update);
        raise(node);
        if (!update->outdated) {
            state::record_table_read(node.freshness, node.freshness.revision, node.read->sent);
        }
        node.read.reset();
    }

    void tell(const sim_node& from, sim_node& to) {
        const auto table = current_table(from.config);
        if (!table.encoded) {
            return;
        }
        to.freshness.peer_revision = std::max(to.freshness.peer_revision, table.position);
        if (!state::prefers_own_read(to.freshness, table.position, now)) {
            REQUIRE(apply_peer_table(to.config, table.position, *table.encoded));
            raise(to);
        }
    }

    void step() {
        now += std::chrono::milliseconds(pick(400));
        switch (pick(10)) {
        case 0:
            ++revision;
            content = next_content++;
            break;
        case 1:
            copied_revision = revision;
            copied_content = content;
            break;
        case 2:
            revision = copied_revision;
            content = copied_content;
            break;
        case 3:
        case 4:
            if (auto& node = any_node(); node.reads_service && !node.read) {
                send_read(node);
            }
            break;
        case 5:
        case 6:
            receive_read(any_node());
            break;
        case 7:
            if (pick(8) == 0) {
                auto& node = nodes.at(static_cast<std::size_t>(pick(static_cast<int>(nodes.size()))));
                const bool reads = node->reads_service;
                node = std::make_unique<sim_node>();
                node->reads_service = reads;
            }
            break;
        default:
            tell(any_node(), any_node());
        }
    }

    // What the loops of a fleet do within a few seconds in which nothing changes.
    void settle() {
        for (int round = 0; round < 3; ++round) {
            for (auto& node : nodes) {
                receive_read(*node);
                if (node->reads_service) {
                    send_read(*node);
                    receive_read(*node);
                }
            }
            for (std::size_t i = 0; i < nodes.size() * nodes.size(); ++i) {
                tell(*nodes[i / nodes.size()], *nodes[i % nodes.size()]);
            }
            now += 2s;
        }
    }
};

} // namespace

TEST_CASE("every node ends with the table of a key-value service that goes back again and again") {
    // Guards against a node that keeps a lost table, or goes on exchanging it with its peers.
    for (unsigned seed = 1; seed <= 400; ++seed) {
        sim_fleet fleet(seed);
        for (int i = 0; i < 300; ++i) {
            fleet.step();
        }
        fleet.settle();
        const auto stored = fleet.stored();
        for (const auto& node : fleet.nodes) {
            const auto table = current_table(node->config);
            REQUIRE(static_cast<bool>(table.encoded));
            CHECK_MESSAGE(*table.encoded == stored, seed);
            CHECK_MESSAGE(table.position == current_table(fleet.nodes.front()->config).position, seed);
        }
    }
}

TEST_CASE("a late answer from before the key-value service went back doesn't bring the lost table back") {
    // Guards against a fleet that goes back and forth between the lost table and the one that is stored.
    config_table config;
    const auto lost = core::encode_table(table_of(5, 1));
    const auto copy = core::encode_table(table_of(4, 0));
    REQUIRE(apply_stored_table(config, 0, lost));
    const auto known = current_table(config).position;
    CHECK(apply_stored_table(config, known, copy)->applied);
    CHECK(current_revision(config) == 4);
    CHECK(apply_stored_table(config, known, lost)->outdated);
    CHECK_FALSE(apply_peer_table(config, 5, lost)->applied);
    CHECK(current_revision(config) == 4);
}

TEST_CASE("a table that lost edits names them, and one that only moved on names none") {
    // Guards against an operator's edit that is lost without a trace, and against a false report of one.
    const auto logged = [](std::uint64_t revision, const std::string& edit_id) {
        return core::table_change{revision, {"upstream", "u"}, "set", "ann", edit_id};
    };
    core::table before = table_of(2, 0);
    before.log = {logged(1, "a"), logged(2, "b")};
    core::table copy = table_of(1, 0);
    copy.log = {logged(1, "a")};
    core::table later = table_of(3, 2);
    later.log = {logged(1, "a"), logged(2, "c"), logged(3, "d")};
    config_table config;
    REQUIRE(apply_stored_table(config, 0, core::encode_table(before)));
    const auto gone_back =
        apply_stored_table(config, current_table(config).position, core::encode_table(copy))->gone_back;
    REQUIRE(gone_back);
    REQUIRE(gone_back->lost.size() == 1);
    CHECK(gone_back->lost.front().edit_id == "b");
    const auto moved = apply_stored_table(config, current_table(config).position, core::encode_table(later));
    CHECK(moved->applied);
    CHECK_FALSE(moved->gone_back);
    CHECK(config.return_count == 1);
}
