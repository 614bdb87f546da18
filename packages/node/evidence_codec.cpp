#include "node/evidence_codec.h"

#include <nlohmann/json.hpp>

namespace figspoke::node {
namespace {

using nlohmann::json;

json encode_counts(const policy::rating_counts& counts) {
    return {counts.accepted_passed, counts.accepted_failed, counts.flagged_passed, counts.flagged_failed};
}

policy::rating_counts decode_counts(const json& value) {
    return {value.at(0).get<double>(), value.at(1).get<double>(), value.at(2).get<double>(),
            value.at(3).get<double>()};
}

json encode_versions(const evidence_table& evidence, const std::set<std::string>& sources) {
    json encoded = json::array();
    for (const auto& [source, cells] : evidence.versions.sources) {
        if (sources.count(source) == 0) {
            continue;
        }
        for (const auto& [key, counts] : cells) {
            encoded.push_back({source, key.first, key.second, counts.answered, counts.failed, counts.flagged,
                               counts.rated_passed, counts.rated_failed});
        }
    }
    return encoded;
}

json encode_quality(const evidence_table& evidence, const std::set<std::string>& sources,
                    core::steady_time now) {
    json encoded = json::array();
    for (const auto& source : sources) {
        const auto report = policy::make_report(evidence.quality, source, now);
        if (report.cells.empty()) {
            continue;
        }
        json cells = json::array();
        for (const auto& [key, cell] : report.cells) {
            cells.push_back({key.task, key.version, key.escalated_from, encode_counts(cell.slow),
                             encode_counts(cell.fast)});
        }
        encoded.push_back({report.source, report.sequence, report.age.count(), std::move(cells)});
    }
    return encoded;
}

json encode_crashes(const evidence_table& evidence, const std::set<std::string>& sources,
                    core::steady_time now) {
    json encoded = json::array();
    for (const auto& event : policy::export_events(evidence.suspects, now)) {
        if (sources.count(event.source) > 0) {
            encoded.push_back({event.source, event.sequence, static_cast<int>(event.kind), event.fingerprint,
                               event.upstream, event.age.count(), event.crash});
        }
    }
    return encoded;
}

std::uint64_t total_of(const policy::outcome_counts& counts) {
    return counts.answered + counts.failed + counts.flagged + counts.rated_passed + counts.rated_failed;
}

void merge_version(evidence_table& evidence, const json& item, std::set<std::string>& news) {
    policy::version_evidence received;
    const auto source = item.at(0).get<std::string>();
    const policy::evidence_key key{item.at(1).get<std::string>(), item.at(2).get<std::string>()};
    received.sources[source][key] = {item.at(3).get<std::uint64_t>(), item.at(4).get<std::uint64_t>(),
                                     item.at(5).get<std::uint64_t>(), item.at(6).get<std::uint64_t>(),
                                     item.at(7).get<std::uint64_t>()};
    const auto before = total_of(evidence.versions.sources[source][key]);
    policy::merge_evidence(evidence.versions, received);
    if (total_of(evidence.versions.sources[source][key]) > before) {
        news.insert(source);
    }
}

void merge_quality(evidence_table& evidence, const json& item, core::steady_time now,
                   std::set<std::string>& news) {
    policy::quality_report report;
    report.source = item.at(0).get<std::string>();
    report.sequence = item.at(1).get<std::uint64_t>();
    report.age = core::nanoseconds(item.at(2).get<std::int64_t>());
    for (const auto& cell : item.at(3)) {
        const policy::quality_key key{cell.at(0).get<std::string>(), cell.at(1).get<std::string>(),
                                      cell.at(2).get<std::string>()};
        report.cells[key] = {decode_counts(cell.at(3)), decode_counts(cell.at(4))};
    }
    if (policy::merge_report(evidence.quality, report, now)) {
        news.insert(report.source);
    }
}

void merge_crash(evidence_table& evidence, const json& item, core::steady_time now,
                 std::set<std::string>& news) {
    const int kind = item.at(2).get<int>();
    if (kind < 0 || kind > static_cast<int>(policy::crash_event_kind::passed_alone)) {
        return;
    }
    policy::crash_event event;
    event.source = item.at(0).get<std::string>();
    event.sequence = item.at(1).get<std::uint64_t>();
    event.kind = static_cast<policy::crash_event_kind>(kind);
    event.fingerprint = item.at(3).get<std::string>();
    event.upstream = item.at(4).get<std::string>();
    event.age = core::nanoseconds(item.at(5).get<std::int64_t>());
    event.crash = item.at(6).get<std::uint64_t>();
    const auto before = evidence.suspects.events.size();
    policy::merge_events(evidence.suspects, {event}, now);
    if (evidence.suspects.events.size() > before) {
        news.insert(event.source);
    }
}

template <class Merge>
void merge_each(const json& body, const char* field, Merge merge) {
    const auto found = body.find(field);
    if (found == body.end() || !found->is_array()) {
        return;
    }
    for (const auto& item : *found) {
        try {
            merge(item);
        } catch (const json::exception&) {
            continue;
        }
    }
}

} // namespace

std::string encode_evidence(const evidence_table& evidence, const std::set<std::string>& sources,
                            core::steady_time now) {
    const json body = {{"versions", encode_versions(evidence, sources)},
                       {"quality", encode_quality(evidence, sources, now)},
                       {"crashes", encode_crashes(evidence, sources, now)}};
    std::string bytes;
    json::to_cbor(body, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

std::set<std::string> merge_evidence(evidence_table& evidence, std::string_view encoded,
                                     core::steady_time now) {
    const json body = json::from_cbor(encoded, true, false);
    std::set<std::string> news;
    if (!body.is_object()) {
        return news;
    }
    merge_each(body, "versions", [&](const json& item) { merge_version(evidence, item, news); });
    merge_each(body, "quality", [&](const json& item) { merge_quality(evidence, item, now, news); });
    merge_each(body, "crashes", [&](const json& item) { merge_crash(evidence, item, now, news); });
    return news;
}

} // namespace figspoke::node
