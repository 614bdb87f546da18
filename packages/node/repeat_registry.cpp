#include "node/repeat_registry.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "adapters/json_read.h"

#include "adapters/await.h"
#include "node/journal_routing.h"
#include "node/node_state.h"
#include "state/journal_key.h"

namespace figspoke::node {
namespace {

using boost::asio::yield_context;
using core::error_kind;
using core::fail;
using nlohmann::json;
using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::milliseconds poll_period{100};
// A server registers with the owner before it notes the request itself, so that the first denials may be
// early.
constexpr int max_denials = 3;
// Longer than an answer is kept, so that the record doesn't end first.
constexpr std::chrono::seconds record_lifetime{90};

std::string id_of(const chat_session& session) {
    return state::idempotency_id(session.caller.account.name, session.caller.idempotency_key);
}

std::string encode_answer(const adapters::http_reply& answer) {
    const json encoded = {{"status", answer.status}, {"headers", answer.headers}, {"body", answer.body}};
    return encoded.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<adapters::http_reply> decode_answer(const std::string& text) {
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("status")) {
        return std::nullopt;
    }
    return adapters::http_reply{adapters::value_or(parsed, "status", 0),
                                adapters::value_or(parsed, "headers", adapters::http_headers()),
                                adapters::value_or(parsed, "body", std::string())};
}

std::optional<state::member_entry> find_member(node_state& node, const std::string& id) {
    const auto serving = serving_members(node.nodes, clock::now());
    for (const auto& member : *serving) {
        if (member.id == id) {
            return member;
        }
    }
    return std::nullopt;
}

std::optional<json> call_peer(node_state& node, const state::member_entry& peer, const std::string& method,
                              const json& body, const yield_context& yield) {
    const auto answer =
        adapters::await_value<adapters::mesh_result>(yield, [&](const adapters::mesh_callback& done) {
            node.nodes.mesh->call({peer.id, peer.mesh_address}, method, body.dump(), call_timeout, done);
        });
    if (!answer) {
        return std::nullopt;
    }
    const json parsed = json::parse(*answer, nullptr, false);
    return parsed.is_object() ? std::optional(parsed) : std::nullopt;
}

// Asks the shard's owner which node serves the request. Without an answer the request is served here: a
// second run is then possible, a second charge is not, since charges are recorded once for each key.
json ask_owner(node_state& node, const chat_session& session, const std::string& not_at,
               const yield_context& yield) {
    const auto id = id_of(session);
    const auto owner =
        find_shard_owner(node, state::shard_of(id, static_cast<std::uint32_t>(node.settings.journal.shards)));
    const json question = {{"id", id}, {"body_sha256", session.fingerprint}, {"not_at", not_at}};
    if (!owner || owner->id == node.settings.node.id) {
        return json::parse(serve_keyed_begin(node, node.settings.node.id, question.dump()));
    }
    const auto answer = call_peer(node, *owner, "keyed_begin", question, yield);
    return answer.value_or(json{{"node", node.settings.node.id}});
}

// The answer as kept by the serving node; `state` is `finished`, `in_flight` or `unknown`.
json fetch_answer(node_state& node, const std::string& server, const std::string& id,
                  const yield_context& yield) {
    const json question = {{"id", id}};
    const auto peer = find_member(node, server);
    if (!peer) {
        return {{"state", "unknown"}};
    }
    return call_peer(node, *peer, "keyed_fetch", question, yield).value_or(json{{"state", "unknown"}});
}

state::answer_lookup begin_local(node_state& node, const chat_session& session) {
    const std::lock_guard lock(node.repeats.mutex);
    return state::begin_answer(node.repeats.answers, id_of(session), session.fingerprint,
                               session.caller.request_id, clock::now());
}

// How the search for the answer of a keyed request stands.
struct keyed_search {
    enum class step { run_here, answered, wait };
    step next = step::wait;
    std::string answer;
    /// The node that the owner names and that doesn't know the request, and how often it said so.
    std::string forgetful;
    int denials = 0;
};

void look_here(node_state& node, const chat_session& session, keyed_search& search, bool& reused) {
    const auto local = begin_local(node, session);
    reused = local.state == state::answer_state::key_reused;
    if (local.state == state::answer_state::registered) {
        search.next = keyed_search::step::run_here;
    } else if (local.state == state::answer_state::finished) {
        search.next = keyed_search::step::answered;
        search.answer = *local.bytes;
    }
}

void look_there(node_state& node, const chat_session& session, const std::string& server,
                keyed_search& search, const yield_context& yield) {
    const json fetched = fetch_answer(node, server, id_of(session), yield);
    if (fetched["state"] == "finished") {
        search.next = keyed_search::step::answered;
        search.answer = adapters::value_or(fetched, "answer", std::string());
    } else if (fetched["state"] == "unknown") {
        search.denials = search.forgetful == server ? search.denials + 1 : 1;
        search.forgetful = server;
    } else {
        search.denials = 0;
    }
}

// One look at where the request is served. A server that has forgotten the request is replaced by this node.
core::result<void> look_up(node_state& node, const chat_session& session, keyed_search& search,
                           const yield_context& yield) {
    const std::string not_at = search.denials >= max_denials ? search.forgetful : "";
    const json registered = ask_owner(node, session, not_at, yield);
    bool reused = adapters::value_or(registered, "key_reused", false);
    const std::string server = adapters::value_or(registered, "node", std::string());
    if (!reused && server == node.settings.node.id) {
        look_here(node, session, search, reused);
    } else if (!reused) {
        look_there(node, session, server, search, yield);
    }
    if (reused) {
        return fail(error_kind::key_reused, "this idempotency key belongs to a request with another body");
    }
    return {};
}

} // namespace

core::result<std::optional<adapters::http_reply>> begin_keyed(node_state& node, const chat_session& session,
                                                              const yield_context& yield) {
    keyed_search search;
    while (clock::now() < session.caller.expires_at) {
        if (auto looked = look_up(node, session, search, yield); !looked) {
            return tl::make_unexpected(looked.error());
        }
        if (search.next == keyed_search::step::run_here) {
            return std::optional<adapters::http_reply>();
        }
        if (search.next == keyed_search::step::answered) {
            auto answer = decode_answer(search.answer);
            if (answer) {
                answer->headers["x-figspoke-repeated"] = "true";
            }
            return answer;
        }
        adapters::sleep_for(poll_period, yield);
    }
    return fail(error_kind::in_progress, "a request with this idempotency key is still running");
}

void finish_keyed(node_state& node, const chat_session& session, const adapters::http_reply& answer) {
    const std::lock_guard lock(node.repeats.mutex);
    state::finish_answer(node.repeats.answers, id_of(session), encode_answer(answer), clock::now());
}

void abandon_keyed(node_state& node, const chat_session& session) {
    const std::lock_guard lock(node.repeats.mutex);
    state::abandon_answer(node.repeats.answers, id_of(session));
}

std::string serve_keyed_begin(node_state& node, const std::string& from, const std::string& body) {
    const json question = json::parse(body, nullptr, false);
    if (!question.is_object()) {
        return json{{"node", from}}.dump();
    }
    const auto id = adapters::value_or(question, "id", std::string());
    const auto body_sha256 = adapters::value_or(question, "body_sha256", std::string());
    const auto serving = serving_members(node.nodes, clock::now());
    const auto& members = *serving;
    const std::lock_guard lock(node.repeats.mutex);
    auto& record = node.repeats.serving[id];
    const bool known = !record.node.empty();
    if (known && record.body_sha256 != body_sha256) {
        return json{{"key_reused", true}}.dump();
    }
    const bool alive = std::any_of(members.begin(), members.end(), [&](const state::member_entry& member) {
        return member.id == record.node;
    });
    const bool forgotten = known && adapters::value_or(question, "not_at", std::string()) == record.node;
    if (!known || !alive || forgotten) {
        record = {from, body_sha256, {}};
    }
    record.last_seen = clock::now();
    return json{{"node", record.node}}.dump();
}

std::string serve_keyed_fetch(node_state& node, const std::string& body) {
    const json question = json::parse(body, nullptr, false);
    const auto id = adapters::value_or(question, "id", std::string());
    const std::lock_guard lock(node.repeats.mutex);
    const auto found = node.repeats.answers.answers.find(id);
    if (found == node.repeats.answers.answers.end()) {
        return R"({"state":"unknown"})";
    }
    if (!found->second.bytes) {
        return R"({"state":"in_flight"})";
    }
    return json{{"state", "finished"}, {"answer", *found->second.bytes}}.dump();
}

void expire_keyed(node_state& node, core::steady_time now) {
    const std::lock_guard lock(node.repeats.mutex);
    state::expire_answers(node.repeats.answers, now);
    auto& serving = node.repeats.serving;
    for (auto record = serving.begin(); record != serving.end();) {
        record = now - record->second.last_seen > record_lifetime ? serving.erase(record) : std::next(record);
    }
}

} // namespace figspoke::node
