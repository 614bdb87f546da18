#pragma once

#include <iterator>

namespace figspoke::core {

/// Erases the entries of a map for which `condition(value, key)` holds.
template <class Map, class Condition>
void erase_where(Map& entries, Condition condition) {
    for (auto it = entries.begin(); it != entries.end();) {
        it = condition(it->second, it->first) ? entries.erase(it) : std::next(it);
    }
}

} // namespace figspoke::core
