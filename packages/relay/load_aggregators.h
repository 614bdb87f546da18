#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "adapters/wakeup.h"
#include "policy/load_table.h"
#include "relay/load_message.h"

namespace figspoke::relay {

/// Node and address of the load aggregator of an upstream. The address is empty if it is this node.
struct aggregator_place {
    std::string node;
    std::string address;
};

/// Callbacks of the load aggregators into the fleet.
struct aggregator_hooks {
    std::function<aggregator_place(const std::string& upstream)> place_of;
    std::function<void(const std::string& address, const std::string& bytes)> send;
    /// Returns the slots of an upstream; paces need it.
    std::function<int(const std::string& upstream)> slots_of;
    /// Runs a function once the present event is handled; if empty, reports are sent one by one.
    std::function<void(std::function<void()>)> defer;
};

/// In a large fleet each upstream has a load aggregator: the node to which all others report their requests
/// on it, and which they query before they send one. The number of messages grows with the requests and not
/// with the size of the fleet. Messages are datagrams: the next report replaces a lost one, and a query
/// without a reply times out.
class load_aggregators {
  public:
    load_aggregators(std::string node, std::uint64_t incarnation, policy::load_table_settings settings,
                     aggregator_hooks hooks);

    /// Reports this node's requests on an upstream, an event of one of them or its speed, to the upstream's
    /// aggregator.
    void report(const std::string& upstream, const policy::upstream_use& use);
    void report(const std::string& upstream, policy::upstream_event event);
    void report(const std::string& upstream, const policy::speed_sample& sample);

    /// Starts the pace of an upstream. All nodes do so, since any of them may become its aggregator.
    void begin_pace(const std::string& upstream);

    /// Forgets speed and pace of an upstream that restarted or is gone.
    void forget(const std::string& upstream);

    /// Repeats the reports of all requests, for aggregators that are new or missed a report, and queries the
    /// load of these upstreams.
    void refresh(const std::map<std::string, policy::upstream_use>& uses);

    /// Queries the aggregators of these upstreams and waits for their replies, at most `timeout`. They keep
    /// room for a request of `wanted_tokens` until the node has chosen.
    void query(const std::vector<std::string>& upstreams, std::int64_t wanted_tokens,
               core::milliseconds timeout, const boost::asio::yield_context& yield);

    /// Returns the latest known load of an upstream; empty if there is none or it has expired.
    std::optional<policy::aggregated_load> known_load(const std::string& upstream) const;

    void receive(std::string_view bytes, const std::string& from);

  private:
    struct cached_load {
        policy::aggregated_load load;
        core::steady_time at{};
    };
    struct pending_query {
        std::size_t pending_replies = 0;
        std::shared_ptr<adapters::wakeup> signal;
    };

    load_message new_message();
    void record_event(const std::string& upstream, policy::upstream_event event);
    void send_reports_later();
    void send_reports();
    /// Sends one query to each aggregator; returns the number of replies to expect.
    std::size_t send_queries(const std::vector<std::string>& upstreams, std::int64_t wanted_tokens,
                             std::uint64_t query_id);
    void reply_to_query(const load_message& message, const std::string& from);
    void receive_reply(const load_message& message);

    std::string node_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_query_id_ = 0;
    policy::load_table_settings settings_;
    aggregator_hooks hooks_;
    policy::load_table load_table_;
    /// Reports that wait to be sent, by the aggregator's address.
    std::map<std::string, load_message> pending_reports_;
    bool sending_later_ = false;
    std::map<std::string, cached_load> cached_loads_;
    std::map<std::uint64_t, pending_query> pending_queries_;
};

} // namespace figspoke::relay
