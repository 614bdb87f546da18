#include "adapters/decision_log.h"

#include <memory>
#include <mutex>

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace figspoke::adapters {
namespace {

constexpr std::size_t audit_queue_lines = 65536;

std::string render_event(const char* level, const std::string& event, const std::string& message) {
    const nlohmann::json line = {{"level", level}, {"event", event}, {"message", message}};
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

spdlog::sink_ptr make_sink(const std::string& file) {
    if (file.empty()) {
        return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
}

void start_logger(spdlog::sink_ptr sink, const std::string& level, std::size_t queue,
                  spdlog::async_overflow_policy when_full) {
    spdlog::init_thread_pool(queue, 1);
    auto logger =
        std::make_shared<spdlog::async_logger>("figspoke", std::move(sink), spdlog::thread_pool(), when_full);
    logger->set_pattern("%v");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(logger);
    spdlog::flush_every(std::chrono::seconds(1));
}

} // namespace

void open_log(const core::log_section& settings) {
    // Decisions are an audit record: a full queue makes the writer wait and drops no line.
    start_logger(make_sink(settings.file), settings.level, audit_queue_lines,
                 spdlog::async_overflow_policy::block);
}

void open_bounded_log(const std::string& level, std::size_t queue_lines) {
    start_logger(make_sink(""), level, queue_lines, spdlog::async_overflow_policy::overrun_oldest);
}

void log_decision(const std::string& json_object) {
    spdlog::info(fmt::string_view("{}"), json_object);
}

void log_info(const std::string& event, const std::string& message) {
    spdlog::info(fmt::string_view("{}"), render_event("info", event, message));
}

void log_warning(const std::string& event, const std::string& message) {
    spdlog::warn(fmt::string_view("{}"), render_event("warn", event, message));
}

void flush_log() {
    spdlog::default_logger()->flush();
}

void close_log() {
    spdlog::shutdown();
}

} // namespace figspoke::adapters
