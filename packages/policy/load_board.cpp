#include "policy/load_board.h"

#include <algorithm>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {

void note_load(load_board& board, const std::string& upstream, const load_report& report,
               core::steady_time now) {
    auto& entry = board.uses[upstream][report.node];
    // Datagrams overtake each other.
    const bool older = report.incarnation < entry.incarnation ||
                       (report.incarnation == entry.incarnation && report.sequence < entry.sequence);
    if (!older) {
        entry = {report.incarnation, report.sequence, report.use, now};
    }
}

void note_event(load_board& board, const load_board_settings& settings, const std::string& upstream,
                upstream_event event, core::steady_time now) {
    board.health.settings = settings.health;
    // A keeper has few upstreams and hears of them from many nodes, so that all of its own may be ejected;
    // the share protects a node that judges by its own network alone.
    board.health.settings.max_ejected_share = 1;
    switch (event) {
    case upstream_event::dispatched:
        record_dispatch(board.health, upstream, now);
        break;
    case upstream_event::succeeded:
    case upstream_event::failed:
        record_outcome(board.health, upstream, event == upstream_event::succeeded, now);
        break;
    case upstream_event::connection_refused:
        record_refused_connection(board.health, upstream, now);
        break;
    case upstream_event::full:
        board.full_until[upstream] = now + settings.full_pause;
        break;
    }
}

kept_load read_load(const load_board& board, const load_board_settings& settings, const std::string& upstream,
                    core::steady_time now) {
    kept_load load;
    if (const auto found = board.uses.find(upstream); found != board.uses.end()) {
        for (const auto& [node, entry] : found->second) {
            if (now - entry.at <= settings.lifetime) {
                add_use(load.use, entry.use);
            }
        }
    }
    load.suspect = !is_usable(board.health, upstream, now);
    const auto full = board.full_until.find(upstream);
    load.full = full != board.full_until.end() && full->second > now;
    return load;
}

void expire_loads(load_board& board, const load_board_settings& settings, core::steady_time now) {
    core::erase_where(board.uses, [&](auto& nodes, const std::string&) {
        core::erase_where(nodes, [&](const load_board::entry& entry, const std::string&) {
            return now - entry.at > settings.lifetime;
        });
        return nodes.empty();
    });
    core::erase_where(board.full_until,
                      [&](core::steady_time until, const std::string&) { return until <= now; });
}

std::string keeper_of(const std::string& upstream, const std::vector<std::string>& members) {
    std::string best;
    std::uint64_t best_score = 0;
    std::string text;
    for (const auto& member : members) {
        text.assign(upstream).append(1, '\n').append(member);
        const auto score = core::stable_hash(text);
        if (best.empty() || score > best_score) {
            best = member;
            best_score = score;
        }
    }
    return best;
}

std::vector<std::string> shortlist(std::uint64_t prefix, const std::vector<std::string>& upstreams,
                                   const std::vector<double>& draws, const shortlist_settings& settings) {
    const auto wanted = settings.owners + settings.others;
    if (upstreams.size() <= wanted) {
        return upstreams;
    }
    auto rest = prefix == 0 ? upstreams : core::rendezvous_order(std::to_string(prefix), upstreams);
    // The chosen ones are swapped to the front, so that none is named twice.
    for (std::size_t i = prefix == 0 ? 0 : settings.owners; i < wanted; ++i) {
        const auto left = rest.size() - i;
        std::swap(rest[i], rest[i + std::min(std::size_t(draws.at(i) * double(left)), left - 1)]);
    }
    rest.resize(wanted);
    return rest;
}

} // namespace figspoke::policy
