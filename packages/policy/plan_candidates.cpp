#include "policy/plan_candidates.h"

#include <algorithm>
#include <map>

#include "policy/rollout.h"

namespace figspoke::policy {
namespace {

using std::chrono::milliseconds;

double cost_of(const core::model_version& version, const plan_request& request) {
    return (static_cast<double>(request.prompt_tokens) * static_cast<double>(version.price_in) +
            static_cast<double>(request.answer_tokens) * static_cast<double>(version.price_out)) /
           1000.0;
}

milliseconds latency_of(const core::model_version& version, const plan_inputs& inputs,
                        const plan_request& request) {
    const double decode_ms =
        1000.0 * static_cast<double>(request.answer_tokens) / std::max(version.tokens_per_s, 0.001);
    return inputs.capacity.at(version.id).wait + version.first_token +
           milliseconds(static_cast<std::int64_t>(decode_ms));
}

bool has_usable_upstream(const plan_inputs& inputs, const std::string& version) {
    const auto found = inputs.capacity.find(version);
    return found != inputs.capacity.end() && found->second.usable_upstreams > 0;
}

// Returns the first rule that excludes a version, or `chosen` if none does. Rules are checked in the order of
// the guarantees, so that the log names the rule that an operator would have to change first.
rejection_reason find_exclusion(const plan_inputs& inputs, const plan_request& request,
                                const core::client_account& account, const core::model_version& version) {
    if (request.pinned_version && *request.pinned_version != version.id) {
        return rejection_reason::not_pinned;
    }
    if (!core::is_allowed(account, version)) {
        return rejection_reason::not_allowed;
    }
    if (version.state == core::version_state::withdrawn) {
        return rejection_reason::withdrawn;
    }
    if (!request.pinned_version) {
        if (!request.model.empty() && request.model != version.model && request.model != version.id) {
            return rejection_reason::not_requested;
        }
        if (version.state == core::version_state::retiring) {
            return rejection_reason::retiring;
        }
    }
    return has_usable_upstream(inputs, version.id) ? rejection_reason::chosen : rejection_reason::no_upstream;
}

// Keeps one version of each model, chosen by roll-out weight. A version that was requested by its id is kept.
void apply_rollout(const plan_inputs& inputs, const plan_request& request,
                   std::vector<plan_candidate>& candidates) {
    std::map<std::string, std::vector<const core::model_version*>> by_model;
    for (const auto& candidate : candidates) {
        if (candidate.reason == rejection_reason::chosen) {
            const auto& version = inputs.config.versions.at(candidate.version);
            by_model[version.model].push_back(&version);
        }
    }
    for (auto& candidate : candidates) {
        if (candidate.reason != rejection_reason::chosen || candidate.version == request.model) {
            continue;
        }
        const auto& model = inputs.config.versions.at(candidate.version).model;
        const auto* chosen_version = choose_rollout_version(request.rollout_key, by_model.at(model));
        if (chosen_version == nullptr || chosen_version->id != candidate.version) {
            candidate.reason = rejection_reason::other_version;
        }
    }
}

void mark_if_too_slow(plan_candidate& candidate, const plan_request& request) {
    if (request.deadline && candidate.latency > *request.deadline) {
        candidate.reason = rejection_reason::too_slow;
    }
}

void add_direct_estimates(const plan_inputs& inputs, const plan_settings& settings,
                          const plan_request& request, plan_candidate& candidate) {
    const auto& version = inputs.config.versions.at(candidate.version);
    candidate.quality = estimate_direct(inputs.evidence, settings.quality, request.task, version, inputs.now);
    candidate.cost = cost_of(version, request);
    candidate.latency = latency_of(version, inputs, request);
}

plan_candidate make_cascade(const plan_inputs& inputs, const plan_settings& settings,
                            const plan_request& request, const plan_candidate& first,
                            const plan_candidate& second) {
    plan_candidate cascade;
    cascade.version = first.version;
    cascade.escalate_to = second.version;
    cascade.quality = estimate_cascade(inputs.evidence, settings.quality, request.task,
                                       inputs.config.versions.at(first.version),
                                       inputs.config.versions.at(second.version), inputs.now);
    cascade.cost = first.cost + cascade.quality.escalated * second.cost;
    cascade.latency = first.latency + second.latency;
    mark_if_too_slow(cascade, request);
    return cascade;
}

void add_cascades(const plan_inputs& inputs, const plan_settings& settings, const plan_request& request,
                  std::vector<plan_candidate>& candidates) {
    std::vector<plan_candidate> cascades;
    for (const auto& first : candidates) {
        for (const auto& second : candidates) {
            const bool eligible =
                first.reason == rejection_reason::chosen && second.reason == rejection_reason::chosen;
            if (eligible && first.cost < second.cost) {
                cascades.push_back(make_cascade(inputs, settings, request, first, second));
            }
        }
    }
    candidates.insert(candidates.end(), cascades.begin(), cascades.end());
}

} // namespace

std::vector<plan_candidate> list_candidates(const plan_inputs& inputs, const plan_settings& settings,
                                            const plan_request& request) {
    const auto& account = inputs.config.accounts.at(request.account);
    std::vector<plan_candidate> candidates;
    for (const auto& [id, version] : inputs.config.versions) {
        plan_candidate candidate;
        candidate.version = id;
        candidate.reason = find_exclusion(inputs, request, account, version);
        candidates.push_back(candidate);
    }
    if (!request.pinned_version) {
        apply_rollout(inputs, request, candidates);
    }
    for (auto& candidate : candidates) {
        if (candidate.reason == rejection_reason::chosen) {
            add_direct_estimates(inputs, settings, request, candidate);
            mark_if_too_slow(candidate, request);
        }
    }
    // All answers of a pinned conversation come from its version, so there is no cascade.
    if (request.may_cascade && !request.pinned_version) {
        add_cascades(inputs, settings, request, candidates);
    }
    return candidates;
}

} // namespace figspoke::policy
