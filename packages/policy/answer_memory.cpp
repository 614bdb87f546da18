#include "policy/answer_memory.h"

namespace figspoke::policy {
namespace {

constexpr std::size_t short_head_bytes = 4U * 1024;
constexpr std::size_t short_body_bytes = 16U * 1024;
// Unit in which a longer answer takes bytes from the budget.
constexpr std::size_t step_bytes = 64U * 1024;
// A head stands in a buffer of up to twice its length, in the parser, in the list of its fields and in the
// list for the caller.
constexpr std::size_t head_copies = 5;

std::size_t round_up(std::size_t bytes) {
    return (bytes / step_bytes + 1) * step_bytes;
}

} // namespace

std::size_t memory_of_head(std::size_t length) {
    return length <= short_head_bytes ? 0 : round_up(head_copies * length);
}

std::size_t memory_of_body(std::size_t length) {
    return length <= short_body_bytes ? 0 : round_up(length);
}

} // namespace figspoke::policy
