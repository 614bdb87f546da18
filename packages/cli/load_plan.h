#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace figspoke::cli {

/// What `figspoke load` sends.
struct load_options {
    std::string node;
    std::vector<std::string> keys;
    /// Requests a second.
    double rate = 50;
    std::chrono::milliseconds duration{10000};
    std::uint64_t seed = 1;
    std::size_t connections = 256;
    /// Longest silence of an answer.
    std::chrono::milliseconds timeout{60000};
    /// Shares of all requests; the rest has priority normal.
    double urgent = 0.2;
    double batch = 0.3;
    /// Mean lengths; each request has from a half to one and a half of them.
    std::size_t prompt_tokens = 200;
    std::size_t answer_tokens = 64;
    /// Share of chat requests that are streamed.
    double streams = 0.5;
    /// Share of orders among all requests, and the service that takes them.
    double orders = 0;
    std::string order_service;
};

/// One request of the plan.
struct planned_request {
    /// Time from the start of the run.
    std::chrono::microseconds at{0};
    std::size_t key_index = 0;
    std::string priority;
    bool is_order = false;
    bool is_stream = false;
    std::string prompt;
    std::size_t answer_tokens = 0;
};

/// Tells which option is out of its range, naming its flag; empty where all are in range.
std::string check_load_options(const load_options& options);

/// Plans all requests of a run: independent arrivals at the rate, the same for the same options.
std::vector<planned_request> plan_load(const load_options& options);

} // namespace figspoke::cli
