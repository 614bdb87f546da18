#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/config.h"

namespace figspoke::policy {

/// A mean that gives recent samples more weight, with its (bounded) number of samples.
struct ratio_mean {
    double mean = 0;
    double count = 0;
};

/// Learned ratios of generated to allowed tokens of one account, by task kind. The empty kind covers all
/// tasks.
struct account_ratios {
    std::map<std::string, ratio_mean> tasks;
};

/// Learned ratios by account.
struct generation_ratios {
    std::map<std::string, account_ratios> accounts;
};

/// What is known of a request's size before it runs.
struct request_size {
    std::string account;
    std::string task;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
};

/// Updates the ratios after a request has finished. After 64 task kinds of an account, requests of further
/// kinds update only the ratio over all tasks.
void record_generated_tokens(generation_ratios& ratios, const request_size& size,
                             std::int64_t generated_tokens);

/// Returns the expected number of generated tokens of a request, from 0 to its `max_tokens`.
double expected_tokens(const generation_ratios& ratios, const request_size& size);

/// Returns the expected work of a request on a model version: slot-seconds from its start to its last token.
double expected_work(const generation_ratios& ratios, const request_size& size,
                     const core::model_version& version);

} // namespace figspoke::policy
