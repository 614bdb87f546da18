#pragma once

#include <nlohmann/json.hpp>

#include "policy/upstream_use.h"

namespace figspoke::relay {

/// Renders the requests of a node on an upstream.
nlohmann::json use_json(const policy::upstream_use& use);

/// Parses what `use_json` renders. Throws where the value is something else.
policy::upstream_use use_of(const nlohmann::json& value);

} // namespace figspoke::relay
