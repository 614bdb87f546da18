#include "policy/load_table.h"

#include <algorithm>

#include "core/erase_where.h"
#include "core/hash.h"

namespace figspoke::policy {

void record_load(load_table& table, const std::string& upstream, const node_load_report& report,
                 core::steady_time now) {
    auto& entry = table.reports[upstream][report.node];
    // Datagrams may arrive out of order.
    const bool older = report.incarnation < entry.incarnation ||
                       (report.incarnation == entry.incarnation && report.sequence < entry.sequence);
    if (!older) {
        if (report.use.tokens > entry.use.tokens) {
            settle_grant(table.grants, upstream, report.node);
        }
        entry = {report.incarnation, report.sequence, report.use, now};
    }
}

std::optional<pace_answer> pace_answer_of(upstream_event event) {
    switch (event) {
    case upstream_event::succeeded:
        return pace_answer::fast;
    case upstream_event::succeeded_late:
        return pace_answer::slow;
    case upstream_event::full:
        return pace_answer::refused;
    case upstream_event::failed:
    case upstream_event::connection_refused:
        return pace_answer::failed;
    case upstream_event::dispatched:
        break;
    }
    return std::nullopt;
}

bool record_event(load_table& table, const load_table_settings& settings, const std::string& upstream,
                  upstream_event event, core::steady_time now) {
    table.health.settings = settings.health;
    // A load aggregator tracks few upstreams by the outcomes of many nodes, so all of them may be ejected.
    // The limit protects a node that sees only the failures of its own network.
    table.health.settings.max_ejected_share = 1;
    if (const auto answer = pace_answer_of(event)) {
        record_pace_answer(table.paces, settings.pace, upstream, *answer, 1, now);
    }
    switch (event) {
    case upstream_event::dispatched:
        record_dispatch(table.health, upstream, now);
        break;
    case upstream_event::succeeded:
    case upstream_event::succeeded_late:
        return record_outcome(table.health, upstream, true, now);
    case upstream_event::failed:
        record_outcome(table.health, upstream, false, now);
        break;
    case upstream_event::connection_refused:
        record_refused_connection(table.health, upstream, now);
        break;
    case upstream_event::full:
        table.full_until[upstream] = now + settings.full_pause;
        break;
    }
    return false;
}

aggregated_load aggregate_load(const load_table& table, const load_table_settings& settings,
                               const std::string& upstream, core::steady_time now) {
    aggregated_load load;
    if (const auto found = table.reports.find(upstream); found != table.reports.end()) {
        for (const auto& [node, entry] : found->second) {
            if (now - entry.received_at <= settings.report_lifetime) {
                add_use(load.use, entry.use);
            }
        }
    }
    load.suspect = !is_usable(table.health, upstream, now);
    const auto full = table.full_until.find(upstream);
    load.full = full != table.full_until.end() && full->second > now;
    load.use.tokens += granted_tokens(table.grants, settings.memory, upstream, now);
    if (const auto pace = table.paces.upstreams.find(upstream); pace != table.paces.upstreams.end()) {
        load.pace_limit = pace->second.limit;
    }
    for (int i = 0; i < speed_measure_count; ++i) {
        load.speeds.at(std::size_t(i)) =
            find_speed(table.speeds, settings.speed, upstream, static_cast<speed_measure>(i), now);
    }
    return load;
}

void expire_loads(load_table& table, const load_table_settings& settings, core::steady_time now) {
    core::erase_where(table.reports, [&](auto& nodes, const std::string&) {
        core::erase_where(nodes, [&](const load_table::entry& entry, const std::string&) {
            return now - entry.received_at > settings.report_lifetime;
        });
        return nodes.empty();
    });
    expire_speeds(table.speeds, settings.speed, now);
    expire_paces(table.paces, settings.pace, now);
    expire_grants(table.grants, settings.memory, now);
    core::erase_where(table.full_until,
                      [&](core::steady_time until, const std::string&) { return until <= now; });
}

std::string aggregator_of(const std::string& upstream, const std::vector<std::string>& members) {
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
    const auto count = settings.owners + settings.others;
    if (upstreams.size() <= count) {
        return upstreams;
    }
    auto chosen = prefix == 0 ? upstreams : core::rendezvous_order(std::to_string(prefix), upstreams);
    // A partial Fisher-Yates shuffle after the owners, so that no upstream is drawn twice.
    for (std::size_t i = prefix == 0 ? 0 : settings.owners; i < count; ++i) {
        const auto left = chosen.size() - i;
        std::swap(chosen[i], chosen[i + std::min(std::size_t(draws.at(i) * double(left)), left - 1)]);
    }
    chosen.resize(count);
    return chosen;
}

} // namespace figspoke::policy
