#include "relay/load_aggregators.h"

#include <utility>

#include "core/erase_where.h"
#include "relay/boot_clock.h"

namespace figspoke::relay {
namespace {

// Older replies are outdated: on a busy upstream, requests start and end many times a second.
constexpr core::milliseconds cached_load_lifetime{1000};
// Maximum number of upstreams or loads in one datagram; the next refresh sends more.
constexpr std::size_t max_entries = 400;

} // namespace

load_aggregators::load_aggregators(std::string node, std::uint64_t incarnation,
                                   policy::load_table_settings settings, aggregator_hooks hooks)
    : node_(std::move(node)), incarnation_(incarnation), settings_(settings), hooks_(std::move(hooks)) {}

load_message load_aggregators::new_message() {
    load_message message;
    message.node = node_;
    message.incarnation = incarnation_;
    message.sequence = ++sequence_;
    return message;
}

void load_aggregators::report(const std::string& upstream, const policy::upstream_use& use) {
    const auto place = hooks_.place_of(upstream);
    if (place.address.empty()) {
        policy::record_load(load_table_, upstream, {node_, incarnation_, ++sequence_, use}, boot_now());
        return;
    }
    pending_reports_[place.address].uses[upstream] = use;
    send_reports_later();
}

void load_aggregators::report(const std::string& upstream, policy::upstream_event event) {
    const auto place = hooks_.place_of(upstream);
    if (place.address.empty()) {
        record_event(upstream, event);
        return;
    }
    pending_reports_[place.address].events.emplace_back(upstream, event);
    send_reports_later();
}

void load_aggregators::report(const std::string& upstream, const policy::speed_sample& sample) {
    const auto place = hooks_.place_of(upstream);
    if (place.address.empty()) {
        policy::learn_speed(load_table_.speeds, settings_.speed, upstream, sample, boot_now());
        return;
    }
    pending_reports_[place.address].speed_samples.emplace_back(upstream, sample);
    send_reports_later();
}

void load_aggregators::record_event(const std::string& upstream, policy::upstream_event event) {
    if (policy::record_event(load_table_, settings_, upstream, event, boot_now())) {
        begin_pace(upstream);
    }
}

void load_aggregators::begin_pace(const std::string& upstream) {
    if (hooks_.slots_of) {
        policy::begin_pace(load_table_.paces, settings_.pace, upstream, hooks_.slots_of(upstream),
                           boot_now());
    }
}

void load_aggregators::forget(const std::string& upstream) {
    load_table_.speeds.upstreams.erase(upstream);
    load_table_.paces.upstreams.erase(upstream);
    cached_loads_.erase(upstream);
}

// The start of a request changes the use of its upstream and is an event as well, and so is its end. One
// datagram takes both.
void load_aggregators::send_reports_later() {
    if (!hooks_.defer) {
        send_reports();
    } else if (!sending_later_) {
        sending_later_ = true;
        hooks_.defer([this] { send_reports(); });
    }
}

void load_aggregators::send_reports() {
    sending_later_ = false;
    for (auto& [address, pending] : std::exchange(pending_reports_, {})) {
        auto message = new_message();
        message.uses = std::move(pending.uses);
        message.events = std::move(pending.events);
        message.speed_samples = std::move(pending.speed_samples);
        hooks_.send(address, encode_load_message(message));
    }
}

void load_aggregators::refresh(const std::map<std::string, policy::upstream_use>& uses) {
    const auto now = boot_now();
    send_reports();
    policy::expire_loads(load_table_, settings_, now);
    core::erase_where(cached_loads_, [&](const cached_load& cached, const std::string&) {
        return now - cached.at > cached_load_lifetime;
    });
    std::map<std::string, load_message> by_address;
    for (const auto& [upstream, use] : uses) {
        const auto place = hooks_.place_of(upstream);
        if (place.address.empty()) {
            policy::record_load(load_table_, upstream, {node_, incarnation_, ++sequence_, use}, now);
            continue;
        }
        auto& message = by_address.emplace(place.address, new_message()).first->second;
        if (message.uses.size() < max_entries) {
            message.uses[upstream] = use;
            message.queried_upstreams.push_back(upstream);
            message.query_id = last_query_id_ + 1;
        }
    }
    ++last_query_id_;
    for (const auto& [address, message] : by_address) {
        hooks_.send(address, encode_load_message(message));
    }
}

std::size_t load_aggregators::send_queries(const std::vector<std::string>& upstreams,
                                           std::int64_t wanted_tokens, std::uint64_t query_id) {
    std::map<std::string, load_message> by_address;
    for (const auto& upstream : upstreams) {
        const auto place = hooks_.place_of(upstream);
        if (!place.address.empty()) {
            auto& message = by_address.emplace(place.address, new_message()).first->second;
            message.query_id = query_id;
            message.wanted_tokens = wanted_tokens;
            message.queried_upstreams.push_back(upstream);
        }
    }
    for (const auto& [address, message] : by_address) {
        hooks_.send(address, encode_load_message(message));
    }
    return by_address.size();
}

void load_aggregators::query(const std::vector<std::string>& upstreams, std::int64_t wanted_tokens,
                             core::milliseconds timeout, const boost::asio::yield_context& yield) {
    const auto query_id = ++last_query_id_;
    const auto pending_replies = send_queries(upstreams, wanted_tokens, query_id);
    if (pending_replies == 0) {
        return;
    }
    const auto signal = std::make_shared<adapters::wakeup>(yield.get_executor());
    pending_queries_[query_id] = {pending_replies, signal};
    signal->wait_until(std::chrono::steady_clock::now() + timeout, yield);
    pending_queries_.erase(query_id);
}

std::optional<policy::aggregated_load> load_aggregators::known_load(const std::string& upstream) const {
    if (hooks_.place_of(upstream).address.empty()) {
        return policy::aggregate_load(load_table_, settings_, upstream, boot_now());
    }
    const auto found = cached_loads_.find(upstream);
    if (found == cached_loads_.end() || boot_now() - found->second.at > cached_load_lifetime) {
        return std::nullopt;
    }
    return found->second.load;
}

void load_aggregators::receive(std::string_view bytes, const std::string& from) {
    const auto message = decode_load_message(bytes);
    if (!message || message->node == node_) {
        return;
    }
    const auto now = boot_now();
    for (const auto& [upstream, use] : message->uses) {
        policy::record_load(load_table_, upstream,
                            {message->node, message->incarnation, message->sequence, use}, now);
    }
    for (const auto& [upstream, event] : message->events) {
        record_event(upstream, event);
    }
    for (const auto& [upstream, sample] : message->speed_samples) {
        policy::learn_speed(load_table_.speeds, settings_.speed, upstream, sample, now);
    }
    if (message->query_id != 0) {
        reply_to_query(*message, from);
    }
    if (message->answered_query_id != 0) {
        receive_reply(*message);
    }
}

void load_aggregators::reply_to_query(const load_message& message, const std::string& from) {
    auto reply = new_message();
    reply.answered_query_id = message.query_id;
    for (const auto& upstream : message.queried_upstreams) {
        if (reply.loads.size() < max_entries) {
            reply.loads.emplace_back(upstream,
                                     policy::aggregate_load(load_table_, settings_, upstream, boot_now()));
            policy::grant_memory(load_table_.grants, settings_.memory, upstream, message.node,
                                 message.wanted_tokens, boot_now());
        }
    }
    hooks_.send(from, encode_load_message(reply));
}

void load_aggregators::receive_reply(const load_message& message) {
    for (const auto& [upstream, load] : message.loads) {
        cached_loads_[upstream] = {load, boot_now()};
    }
    const auto found = pending_queries_.find(message.answered_query_id);
    if (found != pending_queries_.end() && --found->second.pending_replies == 0) {
        found->second.signal->signal();
    }
}

} // namespace figspoke::relay
