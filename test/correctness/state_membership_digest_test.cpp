#include <deque>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/member_delta_codec.h"
#include "state/member_digest.h"

using namespace figspoke;
using namespace figspoke::state;
using namespace std::chrono_literals;

namespace {

struct peer {
    membership known;
    table_freshness freshness;
    digest_link link;
    std::deque<member_digest> inbox;
};

struct digest_world {
    core::steady_time now{1000s};
    health_timeouts timeouts{60s, 120s, 240s};
    std::vector<peer> peers;

    digest_world() {
        for (const auto* id : {"a", "b"}) {
            member_entry self;
            self.id = id;
            self.incarnation = 1;
            peers.push_back({make_membership(self, now), {}, {}, {}});
        }
        for (int i = 0; i < 4; ++i) {
            member_entry other_member;
            other_member.id = "m" + std::to_string(i);
            merge_entry(peers[0].known, other_member, 0ms, now);
        }
    }

    void send(std::size_t from) {
        auto& sender = peers[from];
        advance_heartbeat(sender.known, now);
        peers[1 - from].inbox.push_back(
            build_digest(sender.link, sender.known, sender.freshness, timeouts, now));
    }

    bool receive(std::size_t to, std::size_t position, bool keep_copy) {
        auto& receiver = peers[to];
        if (receiver.inbox.empty()) {
            return true;
        }
        const auto at = receiver.inbox.begin() + std::ptrdiff_t(position % receiver.inbox.size());
        const auto digest = *at;
        if (!keep_copy) {
            receiver.inbox.erase(at);
        }
        return receive_digest(receiver.link, digest, receiver.known, receiver.freshness, now).has_value();
    }

    void change_other_member(int code) {
        auto& known = peers[std::size_t(code) % 2].known;
        const auto found = known.members.find("m" + std::to_string(code % 4));
        if (found == known.members.end()) {
            return;
        }
        auto entry = found->second.entry;
        ++entry.heartbeat;
        entry.table_revision += std::uint64_t(code % 3);
        entry.load = std::uint8_t(code);
        entry.payload["w"] = std::to_string(code % 5);
        merge_entry(known, entry, 0ms, now);
    }

    // One step of a network that loses, repeats and reorders digests.
    bool run_network_step(int step) {
        const auto side = std::size_t(step / 8) % 2;
        const auto position = std::size_t(step / 16);
        now += 10ms;
        switch (step % 8) {
        case 0:
        case 1:
            send(side);
            return true;
        case 2:
            change_other_member(step / 8);
            return true;
        case 3:
            return receive(side, position, true);
        case 4:
            if (!peers[side].inbox.empty()) {
                peers[side].inbox.pop_front();
            }
            return true;
        case 5:
            return receive(side, position, false);
        default:
            return receive(side, 0, false);
        }
    }

    std::vector<member_entry> view(std::size_t side) const {
        std::vector<member_entry> entries;
        for (const auto& [id, record] : peers[side].known.members) {
            entries.push_back(record.entry);
            // The peers' own heartbeats advance while the last digests are in flight.
            if (id == "a" || id == "b") {
                entries.back().heartbeat = 0;
            }
        }
        return entries;
    }
};

} // namespace

TEST_CASE("two peers converge after lost, repeated and reordered digests") {
    // Guards against deltas that are applied to the wrong base entry, and against a link that never recovers
    // from a lost digest.
    CHECK(rc::check([] {
        digest_world world;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        for (const int step : steps) {
            RC_ASSERT(world.run_network_step(step));
        }
        world.peers[0].inbox.clear();
        world.peers[1].inbox.clear();
        for (int round = 0; round < 40; ++round) {
            for (const std::size_t side : {0, 1}) {
                world.send(side);
                RC_ASSERT(world.receive(1 - side, 0, false));
            }
        }
        RC_ASSERT(world.view(0) == world.view(1));
    }));
}

TEST_CASE("an adopted table age is never below the true age") {
    // Guards against an age bound that relies on the peer's clock or ignores the delay of a digest.
    CHECK(rc::check([] {
        digest_world world;
        const auto read_at = world.now;
        raise_revision(world.peers[0].freshness, 5);
        record_table_read(world.peers[0].freshness, 5, read_at);
        const bool has_revision = *rc::gen::arbitrary<bool>();
        raise_revision(world.peers[1].freshness, has_revision ? 5 : 4);
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400))) {
            world.run_network_step(step);
            const auto age = table_age(world.peers[1].freshness, world.now);
            RC_ASSERT(!age || (has_revision && *age >= core::to_ms(world.now - read_at)));
        }
    }));
}

TEST_CASE("member deltas survive encoding, and arbitrary bytes don't crash the decoder") {
    CHECK(rc::check([](const std::vector<std::uint64_t>& gaps, const std::string& noise) {
        std::vector<member_delta> deltas;
        std::uint64_t index = 0;
        for (const auto gap : gaps) {
            index += 1 + gap % 1000;
            deltas.push_back({index, gap % 20, static_cast<member_state>(gap % 4), {}, {}, {}});
            if (gap % 2 == 0) {
                deltas.back().table_revision = gap;
            }
        }
        const auto decoded = decode_deltas(encode_deltas(deltas));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded->size() == deltas.size());
        for (std::size_t i = 0; i < deltas.size(); ++i) {
            RC_ASSERT((*decoded)[i].index == deltas[i].index);
            RC_ASSERT((*decoded)[i].heartbeat_increment == deltas[i].heartbeat_increment);
            RC_ASSERT((*decoded)[i].table_revision == deltas[i].table_revision);
        }
        decode_deltas(noise);
    }));
}
