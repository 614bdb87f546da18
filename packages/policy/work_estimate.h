#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/config.h"

namespace figspoke::policy {

/// A decaying mean with the number of observations behind it.
struct ratio_mean {
    double mean = 0;
    double count = 0;
};

/// Learned ratios of generated to allowed tokens of one account, by task kind. The empty kind holds all
/// tasks.
struct account_ratios {
    std::map<std::string, ratio_mean> tasks;
};

/// Learned ratios by account.
struct generation_ratios {
    std::map<std::string, account_ratios> accounts;
};

/// The size of a request before it runs.
struct request_size {
    std::string account;
    std::string task;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_tokens = 0;
};

/// Learns from a finished request. Task kinds beyond 64 of an account count towards the account only.
void record_generated(generation_ratios& ratios, const request_size& size, std::int64_t generated_tokens);

/// Returns the number of tokens that a request is expected to generate, from 0 to its `max_tokens`.
double expected_tokens(const generation_ratios& ratios, const request_size& size);

/// Returns the expected work of a request on a version: slot-seconds from its start to its last token.
double expected_work(const generation_ratios& ratios, const request_size& size,
                     const core::model_version& version);

} // namespace figspoke::policy
