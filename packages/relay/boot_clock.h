#pragma once

#include "core/time.h"

namespace figspoke::relay {

/// Returns the time since the VM started, including time in suspension. The relay takes all times from this
/// clock, so that ages and deadlines remain correct after a suspension, and never compares them with another
/// clock.
core::steady_time boot_now();

/// Returns the time since the Unix epoch, 1970. It may be off by seconds and may jump, so it only
/// distinguishes and orders events that are further apart.
core::milliseconds unix_time();

} // namespace figspoke::relay
