#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "adapters/wakeup.h"
#include "policy/load_board.h"
#include "relay/load_message.h"

namespace figspoke::relay {

/// Where the keeper of an upstream is. The address is empty where this node is the keeper.
struct keeper_place {
    std::string node;
    std::string address;
};

/// What the keepers need of the fleet.
struct keeper_hooks {
    std::function<keeper_place(const std::string& upstream)> place_of;
    std::function<void(const std::string& address, const std::string& bytes)> send;
};

/// In a large fleet each upstream has a keeper: one node that all others tell of their requests on it, and
/// ask before they send one. Messages follow the requests and not the size of the fleet. They are datagrams:
/// what is lost is made up for by the next report, and a question without an answer ends after a moment.
class load_keepers {
  public:
    load_keepers(std::string node, std::uint64_t incarnation, policy::load_board_settings settings,
                 keeper_hooks hooks);

    /// Tells the keeper of this node's requests on an upstream, and what one of them showed.
    void report(const std::string& upstream, const policy::upstream_use& use);
    void report(const std::string& upstream, policy::upstream_event event);

    /// Repeats the reports of all requests, for keepers that missed one or are new, and asks for the load of
    /// these upstreams.
    void refresh(const std::map<std::string, policy::upstream_use>& uses);

    /// Asks the keepers of some upstreams and waits for the answers, `patience` at most.
    void ask(const std::vector<std::string>& upstreams, core::milliseconds patience,
             const boost::asio::yield_context& yield);

    /// The latest answer about an upstream; empty where there is none that is young enough.
    std::optional<policy::kept_load> known_load(const std::string& upstream) const;

    void receive(std::string_view bytes, const std::string& from);

  private:
    struct answer {
        policy::kept_load load;
        core::steady_time at{};
    };
    struct question {
        std::size_t missing = 0;
        std::shared_ptr<adapters::wakeup> signal;
    };

    load_message new_message();
    /// Sends questions by keeper; returns how many answers to expect.
    std::size_t send_questions(const std::vector<std::string>& upstreams, std::uint64_t number);
    void answer_question(const load_message& message, const std::string& from);
    void take_answer(const load_message& message);

    std::string node_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_question_ = 0;
    policy::load_board_settings settings_;
    keeper_hooks hooks_;
    policy::load_board board_;
    std::map<std::string, answer> answers_;
    std::map<std::uint64_t, question> open_;
};

} // namespace figspoke::relay
