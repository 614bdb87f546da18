#include "node/random.h"

#include <random>

namespace figspoke::node {

double random_unit() {
    thread_local std::mt19937_64 generator(std::random_device{}());
    return std::uniform_real_distribution<double>(0.0, 1.0)(generator);
}

} // namespace figspoke::node
