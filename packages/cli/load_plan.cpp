#include "cli/load_plan.h"

#include <cmath>
#include <random>

namespace figspoke::cli {
namespace {

// More would not fit into the memory of a small machine, since the plan is built before the run.
constexpr double max_requests = 1000000;
constexpr std::size_t max_tokens = 100000;

// Distributions of the standard library differ between its versions; the engine doesn't.
double next_fraction(std::mt19937_64& engine) {
    return static_cast<double>(engine() >> 11U) / 9007199254740992.0;
}

std::size_t spread_around(std::mt19937_64& engine, std::size_t mean) {
    const double length = static_cast<double>(mean) * (0.5 + next_fraction(engine));
    return std::max<std::size_t>(1, static_cast<std::size_t>(length));
}

// A word of three letters and a space stands for one token.
std::string write_prompt(std::mt19937_64& engine, std::size_t tokens) {
    std::string text;
    for (std::size_t i = 0; i < tokens; ++i) {
        for (int letter = 0; letter < 3; ++letter) {
            text += static_cast<char>('a' + engine() % 26);
        }
        text += ' ';
    }
    return text;
}

std::string pick_priority(std::mt19937_64& engine, const load_options& options) {
    const double drawn = next_fraction(engine);
    if (drawn < options.urgent) {
        return "urgent";
    }
    return drawn < options.urgent + options.batch ? "batch" : "normal";
}

planned_request plan_request(std::mt19937_64& engine, const load_options& options) {
    planned_request request;
    request.key_index = engine() % options.keys.size();
    request.priority = pick_priority(engine, options);
    request.is_order = next_fraction(engine) < options.orders;
    request.is_stream = next_fraction(engine) < options.streams && !request.is_order;
    request.prompt = write_prompt(engine, spread_around(engine, options.prompt_tokens));
    request.answer_tokens = spread_around(engine, options.answer_tokens);
    return request;
}

bool is_share(double value) {
    return value >= 0 && value <= 1;
}

} // namespace

std::string check_load_options(const load_options& options) {
    const double requests = options.rate * std::chrono::duration<double>(options.duration).count();
    if (options.keys.empty()) {
        return "--keys_file names no file with API keys, one a line";
    }
    if (!(options.rate > 0) || options.duration.count() <= 0 || requests > max_requests) {
        return "--rate and --duration_s are " + std::to_string(options.rate) + " and " +
               std::to_string(std::chrono::duration<double>(options.duration).count()) +
               "; accepted are numbers above 0 with at most 1000000 requests in all";
    }
    if (!is_share(options.urgent) || !is_share(options.batch) || options.urgent + options.batch > 1) {
        return "--urgent and --batch are shares; accepted are numbers from 0 to 1 with a sum of at most 1";
    }
    if (!is_share(options.streams) || !is_share(options.orders)) {
        return "--streams and --orders are shares; accepted is a number from 0 to 1";
    }
    if (options.orders > 0 && options.order_service.empty()) {
        return "--order_service is missing: the service that takes the orders";
    }
    if (options.prompt_tokens > max_tokens || options.answer_tokens > max_tokens) {
        return "--prompt_tokens and --answer_tokens accept at most " + std::to_string(max_tokens);
    }
    return options.connections == 0 ? "--connections is 0; accepted is a whole number from 1" : "";
}

std::vector<planned_request> plan_load(const load_options& options) {
    std::mt19937_64 engine(options.seed);
    std::vector<planned_request> plan;
    double at = 0;
    const double end = std::chrono::duration<double>(options.duration).count();
    while (true) {
        at -= std::log(1 - next_fraction(engine)) / options.rate;
        if (at >= end) {
            return plan;
        }
        auto request = plan_request(engine, options);
        request.at = std::chrono::microseconds(std::llround(at * 1e6));
        plan.push_back(std::move(request));
    }
}

} // namespace figspoke::cli
