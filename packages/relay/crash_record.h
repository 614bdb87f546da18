#pragma once

#include <cstdint>
#include <string>

#include "core/time.h"

namespace figspoke::relay {

/// A request with this fingerprint was running on an upstream that crashed. An empty upstream means that such
/// a request has succeeded, which clears the fingerprint of earlier crashes.
struct crash_record {
    std::uint64_t fingerprint = 0;
    std::string upstream;
    core::milliseconds age{0};
};

} // namespace figspoke::relay
