#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "state/shared_document.h"
#include "support/test_time.h"

using namespace figspoke;
using namespace figspoke::state;
using core::milliseconds;
using test::at;

namespace {

constexpr int step_ms = 10;
constexpr int heartbeat_ms = 250;
constexpr int retry_ms = 250;
// Times that the platform promises for a withdrawn key and within which a confirmation admits keys.
constexpr int revocation_ms = 5000;
constexpr int key_confirmation_ms = 4650;
constexpr milliseconds grace{2000};
constexpr const char* config_key = "configuration";

struct parameters {
    int nodes = 3;
    bool states_era = false;
    int returns = 0;
    int loss_percent = 0;
    int max_delay_ms = 0;
    bool restarts = false;
    unsigned seed = 0;
};

struct stored_state {
    std::map<std::string, document_item> items;
    std::uint64_t revision = 10;
};

// A store that keeps a copy of itself, from which it comes back.
struct simulated_store {
    stored_state now;
    stored_state copy;
    std::uint16_t era = 1;
    bool away = false;

    void put(const std::string& key, const std::string& value, std::optional<std::uint64_t> version) {
        now.items[key] = {key, value, ++now.revision, version, false};
    }

    document_content read() const {
        document_content content;
        for (const auto& [key, item] : now.items) {
            content.items.push_back(item);
        }
        content.at.revision = now.revision;
        content.hash = hash_items(content.items);
        return content;
    }
};

struct simulated_node {
    shared_document document;
    store_position known;
    bool alive = true;
    int restart_at = 0;
    int retry_at = 0;
    int heartbeat_at = 0;
    bool reading = false;
    bool fetching = false;
    // Counts the processes of the node, so that answers to an earlier one are dropped.
    int process = 0;
    std::uint64_t version = 0;
};

std::uint64_t version_in_force(const shared_document& document) {
    for (const auto& item : document.content ? document.content->items : std::vector<document_item>()) {
        if (item.version) {
            return *item.version;
        }
    }
    return 0;
}

class simulation {
  public:
    explicit simulation(const parameters& from) : parameters_(from), random_(from.seed) {
        nodes_.resize(std::size_t(from.nodes));
        for (auto& node : nodes_) {
            node.document.keeps_items = true;
            node.heartbeat_at = draw(0, heartbeat_ms);
        }
    }

    // Returns what went wrong; empty if nothing did.
    std::string run() {
        write_configuration();
        plan_operator_and_store();
        for (now_ = 0; now_ <= end_ && failure_.empty(); now_ += step_ms) {
            run_events();
            for (std::size_t i = 0; i < nodes_.size(); ++i) {
                run_node(i);
            }
            check_nodes();
        }
        for (const auto& node : nodes_) {
            if (failure_.empty() && version_in_force(node.document) != newest_) {
                failure_ = "a node has not followed the store after its last return";
            } else if (failure_.empty() && !admits_keys(node)) {
                failure_ = "a node refuses keys although the store has been back for long";
            }
        }
        return failure_;
    }

  private:
    int draw(int from, int to) {
        return std::uniform_int_distribution<int>(from, std::max(from, to))(random_);
    }
    bool chance(int percent) { return draw(1, 100) <= percent; }
    void after(int delay, std::function<void()> action) { events_.emplace(now_ + delay, std::move(action)); }

    void run_events() {
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
    }

    void write_configuration() {
        if (store_.away) {
            after(100, [this] { write_configuration(); });
            return;
        }
        newest_ += std::uint64_t(draw(1, 3));
        store_.put(config_key, "configuration " + std::to_string(newest_), newest_);
        acknowledged_at_ = now_;
    }

    void plan_operator_and_store() {
        int time = 2000;
        for (int i = 0; i < parameters_.returns; ++i) {
            for (int write = 0; write < 3; ++write) {
                events_.emplace(time + draw(0, 4000), [this] { write_configuration(); });
            }
            const int copied = time + draw(0, 4000);
            events_.emplace(copied, [this] { store_.copy = store_.now; });
            const int leaves = std::max(copied, time + 3000) + draw(1, 1500);
            const int returns = leaves + draw(100, 3000);
            events_.emplace(leaves, [this] { store_.away = true; });
            events_.emplace(returns, [this] { return_store(); });
            time = returns + draw(0, 4000);
        }
        events_.emplace(time + 2000, [this] { write_configuration(); });
        end_ = time + 2000 + revocation_ms;
    }

    void return_store() {
        store_.now = store_.copy;
        store_.away = false;
        ++store_.era;
        after(draw(0, 1500), [this] {
            store_.put(config_key, "configuration " + std::to_string(newest_), newest_);
            acknowledged_at_ = now_;
        });
    }

    std::size_t rank_of(std::size_t index) const {
        return std::size_t(std::count_if(nodes_.begin(), nodes_.begin() + std::ptrdiff_t(index),
                                         [](const simulated_node& node) { return node.alive; }));
    }

    void raise(simulated_node& node, const store_position& seen) {
        if (raise_position(node.known, seen)) {
            begin_grace(node.document, at(now_), grace);
        }
    }

    void run_node(std::size_t index) {
        auto& node = nodes_[index];
        if (!node.alive) {
            if (now_ >= node.restart_at) {
                start(index);
            }
            return;
        }
        if (parameters_.restarts && draw(1, 100000) <= step_ms && now_ < end_ - revocation_ms) {
            const int process = node.process + 1;
            node = simulated_node();
            node.document.keeps_items = true;
            node.process = process;
            node.alive = false;
            node.restart_at = now_ + draw(100, 2000);
            return;
        }
        if (now_ >= node.heartbeat_at) {
            node.heartbeat_at = now_ + heartbeat_ms;
            send_claims(index);
        }
        if (!node.reading && now_ >= node.retry_at &&
            next_read_time(node.document, {}, rank_of(index)) <= at(now_)) {
            read(index);
        }
    }

    void start(std::size_t index) {
        auto& node = nodes_[index];
        node.alive = true;
        for (int asked = 0; asked < 2; ++asked) {
            const auto peer = std::size_t(draw(0, parameters_.nodes - 1));
            if (peer != index && nodes_[peer].alive && nodes_[peer].document.content) {
                adopt_from(node, nodes_[peer].document, now_, now_);
            }
        }
    }

    void read(std::size_t index) {
        auto& node = nodes_[index];
        node.reading = true;
        const int started = now_;
        const int until_store = draw(0, 150);
        const auto sent = node.known;
        after(until_store, [=] {
            const bool fails = store_.away || chance(5);
            auto content = store_.read();
            const auto stated =
                parameters_.states_era ? std::make_optional(store_.era) : std::optional<std::uint16_t>();
            after(draw(0, 150),
                  [=] { finish_read(index, node.process, fails, content, stated, sent, started); });
        });
    }

    void finish_read(std::size_t index, int process, bool fails, document_content content,
                     std::optional<std::uint16_t> stated, const store_position& sent, int started) {
        auto& node = nodes_[index];
        if (node.process != process || !node.alive) {
            return;
        }
        node.reading = false;
        const auto answer = classify_arrival(sent, node.known, stated, content.at.revision);
        if (fails || answer.age == answer_age::outdated) {
            node.retry_at = now_ + retry_ms;
            return;
        }
        content.at.era = answer.era;
        raise(node, content.at);
        adopt_read(node.document, content, at(started));
    }

    void send_claims(std::size_t index) {
        const auto& document = nodes_[index].document;
        if (!document.content) {
            return;
        }
        const auto age = std::chrono::ceil<milliseconds>(at(now_) - document.confirmed_at);
        const document_claim claim{unpack_position(pack_position(document.content->at)),
                                   document.content->hash, age};
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (to != index && !chance(parameters_.loss_percent)) {
                const clock_echo echo{at(now_ - draw(0, 20)), milliseconds(0)};
                // A few claims wait in a queue for seconds.
                const int delay = chance(2) ? draw(0, 4000) : draw(0, parameters_.max_delay_ms);
                after(delay, [=] { receive(to, index, claim, echo); });
            }
        }
    }

    void receive(std::size_t index, std::size_t from, const document_claim& claim, const clock_echo& echo) {
        auto& node = nodes_[index];
        if (!node.alive) {
            return;
        }
        const auto verdict = merge_claim(node.document, claim, echo, at(now_));
        if (verdict == claim_verdict::confirmed) {
            raise(node, node.document.content->at);
        }
        if (verdict != claim_verdict::newer || node.fetching) {
            return;
        }
        node.fetching = true;
        const int started = now_;
        after(draw(1, 100), [=] {
            const auto peer = nodes_[from];
            after(draw(1, 100), [=] { finish_fetch(index, node.process, peer, started, claim.hash); });
        });
    }

    void finish_fetch(std::size_t index, int process, const simulated_node& peer, int started,
                      std::uint64_t hash) {
        auto& node = nodes_[index];
        if (node.process != process || !node.alive) {
            return;
        }
        node.fetching = false;
        if (peer.alive && peer.document.content) {
            adopt_from(node, peer.document, started, now_);
            record_compared(node.document, hash);
        }
    }

    // The ages are those of a moment between the start and now, which the receiver takes for the start.
    void adopt_from(simulated_node& node, const shared_document& document, int started, int answered) {
        const auto lag = milliseconds(answered - started);
        const auto back = [&](core::steady_time time) {
            return time == core::steady_time::min() ? time : time - lag;
        };
        raise(node, document.content->at);
        adopt_content(node.document, *document.content, back(document.confirmed_at),
                      back(document.current_at));
    }

    bool admits_keys(const simulated_node& node) const {
        return node.document.current_at != core::steady_time::min() &&
               at(now_) - node.document.current_at < milliseconds(key_confirmation_ms);
    }

    void check_nodes() {
        for (auto& node : nodes_) {
            if (!node.alive) {
                continue;
            }
            const auto version = version_in_force(node.document);
            if (version < node.version) {
                failure_ = "a version went back from " + std::to_string(node.version) + " to " +
                           std::to_string(version);
            }
            node.version = version;
            if (admits_keys(node) && version < newest_ && now_ > acknowledged_at_ + revocation_ms) {
                failure_ = "keys are admitted by an older version after the bound";
            }
        }
    }

    parameters parameters_;
    std::mt19937 random_;
    simulated_store store_;
    std::vector<simulated_node> nodes_;
    std::multimap<int, std::function<void()>> events_;
    std::uint64_t newest_ = 0;
    int acknowledged_at_ = 0;
    int now_ = 0;
    int end_ = 0;
    std::string failure_;
};

} // namespace

TEST_CASE("no configuration goes back, and all nodes agree, over the returns of a store from older copies") {
    CHECK(rc::check([] {
        parameters drawn;
        drawn.nodes = *rc::gen::inRange(3, 21);
        drawn.states_era = *rc::gen::arbitrary<bool>();
        drawn.returns = *rc::gen::inRange(0, 4);
        drawn.loss_percent = *rc::gen::inRange(0, 40);
        drawn.max_delay_ms = *rc::gen::inRange(0, 600);
        drawn.restarts = *rc::gen::arbitrary<bool>();
        drawn.seed = *rc::gen::arbitrary<unsigned>();
        RC_LOG() << "nodes " << drawn.nodes << " states_era " << drawn.states_era << " returns "
                 << drawn.returns << " loss " << drawn.loss_percent << " delay " << drawn.max_delay_ms
                 << " restarts " << drawn.restarts << " seed " << drawn.seed << "\n";
        const auto failure = simulation(drawn).run();
        RC_LOG() << failure;
        RC_ASSERT(failure.empty());
    }));
}
