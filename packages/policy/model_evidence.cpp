#include "policy/model_evidence.h"

#include <algorithm>
#include <numeric>

namespace figspoke::policy {
namespace {

std::string pair_key(const std::string& service, const std::string& smaller, const std::string& larger) {
    return service + '\n' + smaller + '\n' + larger;
}

std::string first_key(const std::string& route, const std::string& model) {
    return route + '\n' + model;
}

float total(const confidence_counts& counts) {
    return std::accumulate(counts.begin(), counts.end(), 0.0F);
}

void add_answer(confidence_counts& counts, const model_evidence_settings& settings, int confidence) {
    const float sum = total(counts);
    if (sum + 1 > settings.max_answers && sum > 0) {
        for (auto& count : counts) {
            count *= (settings.max_answers - 1) / sum;
        }
    }
    counts[confidence_range(confidence)] += 1;
}

template <typename Map>
typename Map::mapped_type* find_or_add(Map& map, const std::string& key, std::size_t limit) {
    const auto found = map.find(key);
    if (found != map.end()) {
        return &found->second;
    }
    return map.size() < limit ? &map[key] : nullptr;
}

// Mixes counted answers with an expected distribution that counts for `prior_answers` of them.
confidence_shares mix(const confidence_counts& counts, const confidence_shares& prior, double prior_answers) {
    const double sum = double(total(counts)) + prior_answers;
    confidence_shares shares{};
    for (std::size_t i = 0; i < confidence_ranges; ++i) {
        shares[i] = (double(counts[i]) + prior[i] * prior_answers) / sum;
    }
    return shares;
}

confidence_shares certain(std::size_t range) {
    confidence_shares shares{};
    shares[range] = 1;
    return shares;
}

confidence_shares uniform() {
    confidence_shares shares{};
    shares.fill(1.0 / double(confidence_ranges));
    return shares;
}

// Counts of a row and, with less weight, of the rows beside it, which are alike.
confidence_counts smoothed_row(const std::array<confidence_counts, confidence_ranges>& rows,
                               std::size_t range, float neighbour_weight) {
    auto counts = rows[range];
    for (std::size_t i = 0; i < confidence_ranges; ++i) {
        counts[i] += range > 0 ? neighbour_weight * rows[range - 1][i] : 0;
        counts[i] += range + 1 < confidence_ranges ? neighbour_weight * rows[range + 1][i] : 0;
    }
    return counts;
}

using pair_forecast = std::array<confidence_shares, confidence_ranges>;

pair_forecast forecast_pair(const model_evidence& evidence, const model_evidence_settings& settings,
                            const std::string& key, const pair_forecast& prior) {
    pair_forecast rows{};
    const auto found = evidence.repeated.find(key);
    for (std::size_t range = 0; range < confidence_ranges; ++range) {
        const auto counts = found == evidence.repeated.end()
                                ? confidence_counts{}
                                : smoothed_row(found->second, range, settings.neighbour_weight);
        rows[range] = mix(counts, prior[range], double(settings.prior_answers));
    }
    return rows;
}

// Expects the largest model to be sure of every request, and others to say what the smallest one said.
pair_forecast initial_forecast(bool largest) {
    pair_forecast rows{};
    for (std::size_t range = 0; range < confidence_ranges; ++range) {
        rows[range] = certain(largest ? confidence_ranges - 1 : range);
    }
    return rows;
}

} // namespace

std::size_t confidence_range(int confidence) {
    const auto width = 100 / int(confidence_ranges);
    return std::size_t(std::clamp(confidence / width, 0, int(confidence_ranges) - 1));
}

double range_quality(std::size_t range) {
    return (double(range) + 0.5) / double(confidence_ranges);
}

void record_first_answer(model_evidence& evidence, const model_evidence_settings& settings,
                         const std::string& route, const std::string& model, int confidence) {
    if (auto* counts = find_or_add(evidence.first, first_key(route, model), settings.max_routes)) {
        add_answer(*counts, settings, confidence);
    }
}

void record_repeated_answer(model_evidence& evidence, const model_evidence_settings& settings,
                            const std::string& service, const std::string& replaced, int replaced_confidence,
                            const std::string& model, int confidence) {
    if (auto* rows = find_or_add(evidence.repeated, pair_key(service, replaced, model), settings.max_pairs)) {
        add_answer((*rows)[confidence_range(replaced_confidence)], settings, confidence);
    }
}

model_forecast make_forecast(const model_evidence& evidence, const model_evidence_settings& settings,
                             const std::string& service, const std::string& route,
                             const std::vector<std::string>& models) {
    model_forecast forecast;
    const auto n = models.size();
    forecast.repeated.resize(n);
    for (std::size_t model = 0; model < n; ++model) {
        forecast.repeated[model].resize(n);
        for (auto larger = model + 1; larger < n; ++larger) {
            // What a model says after the smallest one tells most of what it says after another.
            const auto prior = model == 0 ? initial_forecast(larger + 1 == n) : forecast.repeated[0][larger];
            forecast.repeated[model][larger] =
                forecast_pair(evidence, settings, pair_key(service, models[model], models[larger]), prior);
        }
    }
    for (std::size_t model = 0; model < n; ++model) {
        auto prior = uniform();
        // The answers of the smallest model, and what replaced them, tell of all requests of the route.
        if (model > 0) {
            prior.fill(0);
            for (std::size_t range = 0; range < confidence_ranges; ++range) {
                for (std::size_t i = 0; i < confidence_ranges; ++i) {
                    prior[i] += forecast.first[0][range] * forecast.repeated[0][model][range][i];
                }
            }
        }
        const auto found = evidence.first.find(first_key(route, models[model]));
        const auto counts = found == evidence.first.end() ? confidence_counts{} : found->second;
        forecast.first.push_back(mix(counts, prior, double(settings.prior_answers)));
    }
    return forecast;
}

} // namespace figspoke::policy
