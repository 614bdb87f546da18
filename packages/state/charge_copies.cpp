#include "state/charge_copies.h"

namespace figspoke::state {

bool keep_copy(charge_copies& copies, charge_copy copy) {
    const std::pair<std::uint32_t, std::uint64_t> position{copy.shard, copy.value.sequence};
    const auto writer = copies.writers.find(copy.value.writer);
    if (writer != copies.writers.end() && writer->second.count(position) != 0) {
        return true;
    }
    if (copies.count >= copies.max_copies) {
        return false;
    }
    ++copies.count;
    auto& writer_copies = copies.writers[copy.value.writer];
    writer_copies.emplace(position, std::move(copy.value));
    return true;
}

void drop_copy(charge_copies& copies, const std::string& writer, std::uint32_t shard,
               std::uint64_t sequence) {
    const auto found = copies.writers.find(writer);
    if (found == copies.writers.end()) {
        return;
    }
    copies.count -= found->second.erase({shard, sequence});
    if (found->second.empty()) {
        copies.writers.erase(found);
    }
}

std::vector<charge_copy> copies_to_send(const charge_copies& copies,
                                        const std::function<bool(std::string_view incarnation)>& has_ended,
                                        std::size_t max) {
    std::vector<charge_copy> due_copies;
    for (const auto& [writer, writer_copies] : copies.writers) {
        if (!has_ended(writer)) {
            continue;
        }
        for (const auto& [position, value] : writer_copies) {
            if (due_copies.size() == max) {
                return due_copies;
            }
            due_copies.push_back({position.first, value});
        }
    }
    return due_copies;
}

} // namespace figspoke::state
