#pragma once

#include <string>

#include "core/settings.h"

namespace figspoke::adapters {

/// Opens the process's log as the settings say. Throws `std::runtime_error` where the file can't be opened.
void open_log(const core::log_section& settings);

/// Writes one line, a JSON object, at level info: a routing or placement decision.
void log_decision(const std::string& json_object);

/// Writes an event of the process as one JSON line with `level`, `event` and `message`.
void log_info(const std::string& event, const std::string& message);
void log_warning(const std::string& event, const std::string& message);

/// Writes out what is buffered.
void flush_log();

} // namespace figspoke::adapters
