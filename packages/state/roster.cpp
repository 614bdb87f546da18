#include "state/roster.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "core/erase_where.h"

// How at most one side of a partition has a majority while members join and leave.
//
// It would be unsafe to count the members that a node currently considers alive: after the suspicion
// timeout each side of a partition counts only itself. So the voters are recorded as a roster in the
// key-value service, and the roster changes by two rules.
//
// 1. A voter stops being counted only when it has certainly departed: it reported `left`, a later
//    incarnation exists, or its VM left the VM list and its heartbeat timed out. Every node then counts all
//    live voters. Two disjoint sets that each hold half of a superset of the live voters are the two halves
//    of the same set, and the tie rule gives the majority to one of them. So nodes may disagree about which
//    voters departed.
// 2. A voter is added in two steps, similar to joint consensus. Version n lists it under `joining`: a
//    majority of the old voters and a majority of all voters are both needed. Version n+1 makes it a voter,
//    once every voter of version n that has not departed holds version n. Nodes that hold consecutive
//    versions then need a majority of a common set, and a node that holds version n-1 can no longer reach a
//    majority without seeing a higher version.
//
// A voter is an incarnation, since a restarted node has lost the roster that it confirmed. The drawback is
// that new nodes don't become voters during a partition. They still serve while the key-value service
// answers.

namespace figspoke::state {
namespace {

using voter_map = std::map<std::string, std::uint64_t>;

bool is_reachable(const majority_view& view, const member_record& record, core::steady_time now) {
    if (record.entry.state == member_state::left) {
        return false;
    }
    const bool recent =
        now - record.last_advanced <= reachability_timeout && record.last_advanced >= view.valid_since;
    return record.entry.id == view.known.self || recent;
}

bool is_voter_reachable(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                        core::steady_time now) {
    const auto found = view.known.members.find(id);
    return found != view.known.members.end() && found->second.entry.incarnation == incarnation &&
           is_reachable(view, found->second, now);
}

bool reaches_majority_of(const majority_view& view, const voter_map& voters, core::steady_time now) {
    std::size_t voter_count = 0;
    std::size_t reachable_count = 0;
    bool lowest_reachable = false;
    for (const auto& [id, incarnation] : voters) {
        if (has_departed(view, id, incarnation, now)) {
            continue;
        }
        const bool voter_reachable = is_voter_reachable(view, id, incarnation, now);
        lowest_reachable = voter_count == 0 ? voter_reachable : lowest_reachable;
        ++voter_count;
        reachable_count += voter_reachable ? 1 : 0;
    }
    return 2 * reachable_count > voter_count ||
           (voter_count > 0 && 2 * reachable_count == voter_count && lowest_reachable);
}

// A reachable member with a later roster may count towards a majority that this node doesn't know of.
bool is_roster_outdated(const majority_view& view, core::steady_time now) {
    return std::any_of(view.known.members.begin(), view.known.members.end(), [&](const auto& item) {
        return item.second.entry.roster_version > view.recorded_roster.version &&
               is_reachable(view, item.second, now);
    });
}

voter_map voters_and_joining(const roster& recorded_roster) {
    voter_map all = recorded_roster.voters;
    all.insert(recorded_roster.joining.begin(), recorded_roster.joining.end());
    return all;
}

voter_map without_departed(const majority_view& view, voter_map voters, core::steady_time now) {
    core::erase_where(
        voters, [&](const auto& voter, const std::string& id) { return has_departed(view, id, voter, now); });
    return voters;
}

bool all_hold_recorded_version(const majority_view& view, const voter_map& voters) {
    return std::all_of(voters.begin(), voters.end(), [&](const auto& voter) {
        const auto found = view.known.members.find(voter.first);
        return found != view.known.members.end() && found->second.entry.incarnation == voter.second &&
               found->second.entry.roster_version >= view.recorded_roster.version;
    });
}

voter_map serving_members_except(const majority_view& view, const voter_map& excluded,
                                 core::steady_time now) {
    voter_map serving;
    for (const auto* entry : serving_members(view.known, view.timeouts, now)) {
        if (excluded.count(entry->id) == 0) {
            serving.emplace(entry->id, entry->incarnation);
        }
    }
    return serving;
}

} // namespace

bool has_departed(const majority_view& view, const std::string& id, std::uint64_t incarnation,
                  core::steady_time now) {
    const bool is_vm_removed = view.removed_vms.count(id) > 0;
    const auto found = view.known.members.find(id);
    if (found == view.known.members.end()) {
        return is_vm_removed;
    }
    const auto& entry = found->second.entry;
    if (entry.incarnation > incarnation) {
        return true;
    }
    if (entry.incarnation == incarnation && entry.state == member_state::left) {
        return true;
    }
    return is_vm_removed && health_of(view.known, found->second, view.timeouts, now) == member_health::failed;
}

bool has_majority(const majority_view& view, core::steady_time now) {
    if (view.recorded_roster.version == 0 || is_roster_outdated(view, now) ||
        !reaches_majority_of(view, view.recorded_roster.voters, now)) {
        return false;
    }
    return view.recorded_roster.joining.empty() ||
           reaches_majority_of(view, voters_and_joining(view.recorded_roster), now);
}

std::optional<roster> next_roster(const majority_view& view, core::steady_time now) {
    const roster& current = view.recorded_roster;
    // The key-value service may have come back with an older roster than members hold. A roster recorded
    // after it could have the version of theirs and other voters.
    if (is_roster_outdated(view, now)) {
        return std::nullopt;
    }
    if (current.version == 0) {
        auto first = serving_members_except(view, {}, now);
        return first.empty() ? std::nullopt : std::optional<roster>({1, std::move(first), {}});
    }
    const auto remaining = without_departed(view, voters_and_joining(current), now);
    if (!all_hold_recorded_version(view, remaining)) {
        return std::nullopt;
    }
    if (!current.joining.empty()) {
        return roster{current.version + 1, remaining, {}};
    }
    auto new_voters = serving_members_except(view, remaining, now);
    if (new_voters.empty() && remaining.size() == current.voters.size()) {
        return std::nullopt;
    }
    return roster{current.version + 1, remaining, std::move(new_voters)};
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
