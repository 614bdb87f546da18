#pragma once

#include <cstddef>
#include <string>

#include "core/settings.h"

namespace figspoke::adapters {

/// Opens the process's log as the settings say. Throws `std::runtime_error` where the file can't be opened.
void open_log(const core::log_section& settings);

/// Opens a log to standard output that holds at most `queue_lines` and drops the oldest rather than wait for
/// a blocked output.
void open_bounded_log(const std::string& level, std::size_t queue_lines);

/// Writes one line, a JSON object, at level info: a routing or placement decision.
void log_decision(const std::string& json_object);

/// Writes an event of the process as one JSON line with `level`, `event` and `message`.
void log_info(const std::string& event, const std::string& message);
void log_warning(const std::string& event, const std::string& message);

/// Writes out what is buffered.
void flush_log();

/// Writes out what is buffered, waits for it and ends the log.
void close_log();

} // namespace figspoke::adapters
