#pragma once

#include <nlohmann/json.hpp>

#include "policy/upstream_use.h"

namespace figspoke::relay {

/// Encodes a node's use of an upstream as a JSON array.
nlohmann::json use_json(const policy::upstream_use& use);

/// Decodes the output of `use_json`. Throws if the value has another form.
policy::upstream_use use_of(const nlohmann::json& value);

} // namespace figspoke::relay
