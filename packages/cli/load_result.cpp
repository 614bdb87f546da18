#include "cli/load_result.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace figspoke::cli {
namespace {

using nlohmann::json;

constexpr int percentiles[] = {50, 95, 99};

// The smallest value that is not below the given percentage of all values.
double percentile(const std::vector<double>& sorted, std::size_t percent) {
    const std::size_t rank = (sorted.size() * percent + 99) / 100;
    return sorted.at(std::max<std::size_t>(rank, 1) - 1);
}

json summarize(std::vector<double> values) {
    json summary = json::object();
    if (values.empty()) {
        return summary;
    }
    std::sort(values.begin(), values.end());
    for (const int percent : percentiles) {
        summary["p" + std::to_string(percent)] = percentile(values, static_cast<std::size_t>(percent));
    }
    return summary;
}

double in_ms(std::chrono::microseconds time) {
    return static_cast<double>(time.count()) / 1000.0;
}

json summarize_priority(const std::vector<request_result>& results, const std::string& priority) {
    std::vector<double> first_tokens;
    std::vector<double> totals;
    int requests = 0;
    for (const auto& result : results) {
        if (result.priority != priority) {
            continue;
        }
        ++requests;
        if (result.error.empty()) {
            totals.push_back(in_ms(result.total));
        }
        if (result.error.empty() && result.first_token) {
            first_tokens.push_back(in_ms(*result.first_token));
        }
    }
    return {{"requests", requests},
            {"answered", totals.size()},
            {"first_token_ms", summarize(first_tokens)},
            {"total_ms", summarize(totals)}};
}

std::string render_summary(const json& summary) {
    std::string text;
    for (const int percent : percentiles) {
        const auto found = summary.find("p" + std::to_string(percent));
        char cell[32] = "-";
        if (found != summary.end()) {
            std::snprintf(cell, sizeof cell, "%.1f", found->get<double>());
        }
        text += (text.empty() ? "" : " / ") + std::string(cell);
    }
    return text;
}

std::string render_priorities(const json& priorities) {
    std::string text = "times in ms, p50 / p95 / p99\n";
    for (const auto& [name, summary] : priorities.items()) {
        text += "  " + name + ": " + summary["requests"].dump() + " requests, " + summary["answered"].dump() +
                " answered; first token " + render_summary(summary["first_token_ms"]) + "; total " +
                render_summary(summary["total_ms"]) + "\n";
    }
    return text;
}

} // namespace

outcome report_load(const std::vector<request_result>& results) {
    std::map<std::string, int> errors;
    int answered = 0;
    int moves = 0;
    for (const auto& result : results) {
        moves += result.moves;
        if (result.error.empty()) {
            ++answered;
        } else {
            ++errors[result.error];
        }
    }
    json priorities = json::object();
    for (const char* name : {"urgent", "normal", "batch"}) {
        priorities[name] = summarize_priority(results, name);
    }
    outcome told;
    told.code = answered > 0 || results.empty() ? exit_code::done : exit_code::refused;
    told.text = std::to_string(results.size()) + " requests, " + std::to_string(answered) + " answered, " +
                std::to_string(moves) + " sent again to another node\n";
    for (const auto& [kind, count] : errors) {
        told.text += "  error " + kind + ": " + std::to_string(count) + "\n";
    }
    told.text += render_priorities(priorities);
    told.data = {{"requests", results.size()},
                 {"answered", answered},
                 {"moves", moves},
                 {"errors", errors},
                 {"priorities", priorities}};
    return told;
}

} // namespace figspoke::cli
