#include "state/answer_cache.h"

#include <utility>

namespace figspoke::state {
namespace {

using answer_iterator = std::map<std::string, cached_answer>::iterator;

void remove_oldest(answer_cache& cache) {
    const auto found = cache.answers.find(cache.finished.front());
    cache.bytes -= found->second.bytes->size();
    cache.answers.erase(found);
    cache.finished.pop_front();
}

// Returns the entry of a request in flight, or the end iterator if there is none.
answer_iterator find_in_flight(answer_cache& cache, const std::string& id) {
    const auto found = cache.answers.find(id);
    return found != cache.answers.end() && found->second.bytes ? cache.answers.end() : found;
}

answer_lookup make_lookup(const cached_answer& answer, const std::string& body_sha256) {
    answer_lookup lookup;
    lookup.request_id = answer.request_id;
    if (answer.body_sha256 != body_sha256) {
        lookup.state = answer_state::key_reused;
    } else if (answer.bytes) {
        lookup.state = answer_state::finished;
        lookup.bytes = answer.bytes;
    } else {
        lookup.state = answer_state::in_flight;
    }
    return lookup;
}

} // namespace

answer_lookup begin_answer(answer_cache& cache, const std::string& id, const std::string& body_sha256,
                           const std::string& request_id, core::steady_time now) {
    expire_answers(cache, now);
    const auto [entry, inserted] = cache.answers.try_emplace(id);
    if (!inserted) {
        return make_lookup(entry->second, body_sha256);
    }
    entry->second.body_sha256 = body_sha256;
    entry->second.request_id = request_id;
    answer_lookup lookup;
    lookup.request_id = request_id;
    return lookup;
}

void finish_answer(answer_cache& cache, const std::string& id, std::string bytes, core::steady_time now) {
    const auto found = find_in_flight(cache, id);
    if (found == cache.answers.end()) {
        return;
    }
    if (bytes.size() > cache.limits.max_bytes) {
        cache.answers.erase(found);
        return;
    }
    while (cache.bytes + bytes.size() > cache.limits.max_bytes) {
        remove_oldest(cache);
    }
    cache.bytes += bytes.size();
    found->second.bytes = std::make_shared<const std::string>(std::move(bytes));
    found->second.finished_at = now;
    cache.finished.push_back(id);
}

void abandon_answer(answer_cache& cache, const std::string& id) {
    const auto found = find_in_flight(cache, id);
    if (found != cache.answers.end()) {
        cache.answers.erase(found);
    }
}

void expire_answers(answer_cache& cache, core::steady_time now) {
    while (!cache.finished.empty()) {
        const auto& oldest = cache.answers.at(cache.finished.front());
        if (now - oldest.finished_at < cache.limits.retention) {
            return;
        }
        remove_oldest(cache);
    }
}

} // namespace figspoke::state
