#include "state/roster.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/erase_where.h"

// How a majority stays unique while members come and go.
//
// Counting the members that a node currently believes in is unsafe: after the suspicion timeout each side of
// a partition counts only itself. So the count is a roster in the key-value service, and it follows two
// rules.
//
// 1. A voter leaves the count only when it has departed for certain: it said `left`, a later incarnation
//    exists, or its VM left the VM list and it is silent. Every node's count then contains all live voters,
//    and two disjoint sets that each hold half of a superset of the live voters are both halves of the same
//    set; the tie rule gives it to one. So nodes may disagree about who departed.
// 2. A voter is added in two steps. Version n lists it under `joining`, where majorities of the old voters
// and
//    of all are both needed. Version n+1 makes it a voter once every voter of version n that has not departed
//    holds version n. Holders of versions that follow each other then need a majority of a common set, and
//    nobody who counts by version n-1 can reach a majority any more without seeing a higher version.
//
// A voter is an incarnation, since a restarted node has lost the roster that it confirmed. The cost: during a
// partition new nodes don't become voters. They still serve while the key-value service answers.

namespace figspoke::state {
namespace {

using voter_map = std::map<std::string, std::uint64_t>;

bool is_reached(const majority_view& view, const member_record& record, core::steady_time now) {
    if (record.entry.state == member_state::left) {
        return false;
    }
    const bool recent = now - record.last_advanced <= reach_window && record.last_advanced >= view.since;
    return record.entry.id == view.known.self || recent;
}

bool is_voter_reached(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                      core::steady_time now) {
    const auto found = view.known.members.find(id);
    return found != view.known.members.end() && found->second.entry.incarnation == incarnation &&
           is_reached(view, found->second, now);
}

bool holds_majority_of(const majority_view& view, const voter_map& voters, core::steady_time now) {
    std::size_t counted = 0;
    std::size_t reached = 0;
    bool lowest_reached = false;
    for (const auto& [id, incarnation] : voters) {
        if (has_departed(view, id, incarnation, now)) {
            continue;
        }
        const bool is_here = is_voter_reached(view, id, incarnation, now);
        lowest_reached = counted == 0 ? is_here : lowest_reached;
        ++counted;
        reached += is_here ? 1 : 0;
    }
    return 2 * reached > counted || (counted > 0 && 2 * reached == counted && lowest_reached);
}

// A reached member with a later roster may be counted in a majority that this node knows nothing of.
bool is_roster_outdated(const majority_view& view, core::steady_time now) {
    return std::any_of(view.known.members.begin(), view.known.members.end(), [&](const auto& item) {
        return item.second.entry.roster_version > view.recorded.version && is_reached(view, item.second, now);
    });
}

voter_map voters_and_joining(const roster& recorded) {
    voter_map all = recorded.voters;
    all.insert(recorded.joining.begin(), recorded.joining.end());
    return all;
}

voter_map without_departed(const majority_view& view, voter_map voters, core::steady_time now) {
    core::erase_where(
        voters, [&](const auto& voter, const std::string& id) { return has_departed(view, id, voter, now); });
    return voters;
}

bool is_confirmed(const majority_view& view, const voter_map& voters) {
    return std::all_of(voters.begin(), voters.end(), [&](const auto& voter) {
        const auto found = view.known.members.find(voter.first);
        return found != view.known.members.end() && found->second.entry.incarnation == voter.second &&
               found->second.entry.roster_version >= view.recorded.version;
    });
}

voter_map serving_voters(const majority_view& view, const voter_map& except, core::steady_time now) {
    voter_map serving;
    for (const auto* entry : serving_members(view.known, view.timeouts, now)) {
        if (except.count(entry->id) == 0) {
            serving.emplace(entry->id, entry->incarnation);
        }
    }
    return serving;
}

} // namespace

bool has_departed(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                  core::steady_time now) {
    const bool is_gone = view.gone.count(id) > 0;
    const auto found = view.known.members.find(id);
    if (found == view.known.members.end()) {
        return is_gone;
    }
    const auto& entry = found->second.entry;
    if (entry.incarnation > incarnation) {
        return true;
    }
    if (entry.incarnation == incarnation && entry.state == member_state::left) {
        return true;
    }
    return is_gone && health_of(view.known, found->second, view.timeouts, now) == member_health::failed;
}

bool has_majority(const majority_view& view, core::steady_time now) {
    if (view.recorded.version == 0 || is_roster_outdated(view, now) ||
        !holds_majority_of(view, view.recorded.voters, now)) {
        return false;
    }
    return view.recorded.joining.empty() || holds_majority_of(view, voters_and_joining(view.recorded), now);
}

std::optional<roster> next_roster(const majority_view& view, core::steady_time now) {
    const roster& current = view.recorded;
    if (current.version == 0) {
        auto first = serving_voters(view, {}, now);
        return first.empty() ? std::nullopt : std::optional<roster>({1, std::move(first), {}});
    }
    const auto remaining = without_departed(view, voters_and_joining(current), now);
    if (!is_confirmed(view, remaining)) {
        return std::nullopt;
    }
    if (!current.joining.empty()) {
        return roster{current.version + 1, remaining, {}};
    }
    auto added = serving_voters(view, remaining, now);
    if (added.empty() && remaining.size() == current.voters.size()) {
        return std::nullopt;
    }
    return roster{current.version + 1, remaining, std::move(added)};
}

std::string encode_roster(const roster& value) {
    return nlohmann::json{{"version", value.version}, {"voters", value.voters}, {"joining", value.joining}}
        .dump();
}

std::optional<roster> decode_roster(const std::string& text) {
    try {
        const auto parsed = nlohmann::json::parse(text);
        roster decoded;
        decoded.version = parsed.at("version").get<std::uint64_t>();
        decoded.voters = parsed.at("voters").get<voter_map>();
        decoded.joining = parsed.at("joining").get<voter_map>();
        return decoded;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

} // namespace figspoke::state
