#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/time.h"
#include "policy/upstream_health.h"
#include "policy/upstream_use.h"

namespace figspoke::policy {

/// What a request on an upstream showed.
enum class upstream_event { dispatched, succeeded, failed, full, connection_refused };
inline constexpr int upstream_event_count = 5;

/// What a node reports to the keeper of an upstream.
struct load_report {
    std::string node;
    /// Tells apart the processes of the node, and the reports of one process.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    upstream_use use;
};

/// What the keeper of an upstream tells whoever asks.
struct kept_load {
    upstream_use use;
    /// Recent failures, seen by any node, speak against it.
    bool suspect = false;
    /// It said that it is full, less than `load_board_settings::full_pause` ago.
    bool full = false;
};

struct load_board_settings {
    /// Nodes repeat their reports several times within this; what a dead node still ran ends with it.
    core::milliseconds lifetime{1500};
    /// An upstream that said that it is full gets nothing for this long.
    core::milliseconds full_pause{120};
    health_settings health;
};

/// The account that a node keeps of the requests of all nodes on some upstreams.
struct load_board {
    struct entry {
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        upstream_use use;
        core::steady_time at{};
    };
    /// By upstream, then by reporting node.
    std::map<std::string, std::map<std::string, entry>> uses;
    health_table health;
    std::map<std::string, core::steady_time> full_until;
};

/// Takes over a report unless a later one of the node arrived before.
void note_load(load_board& board, const std::string& upstream, const load_report& report,
               core::steady_time now);

/// Notes what a request of any node showed.
void note_event(load_board& board, const load_board_settings& settings, const std::string& upstream,
                upstream_event event, core::steady_time now);

/// Sums up what all nodes run on an upstream.
kept_load read_load(const load_board& board, const load_board_settings& settings, const std::string& upstream,
                    core::steady_time now);

/// Forgets reports that were not repeated.
void expire_loads(load_board& board, const load_board_settings& settings, core::steady_time now);

/// Returns the keeper of an upstream among the members: all nodes that know the same members agree, and a
/// member that leaves moves only the upstreams that it kept. Empty where there are no members.
std::string keeper_of(const std::string& upstream, const std::vector<std::string>& members);

struct shortlist_settings {
    /// Owners of the prefix that are asked, in rendezvous order.
    std::size_t owners = 3;
    /// Further upstreams, by chance, for a prefix whose owners are busy.
    std::size_t others = 3;
};

/// Returns the upstreams whose load is worth asking for: the first owners of the prefix and some others.
/// Asking for all would cost each request a message for each upstream. `prefix` is 0 for requests without a
/// prompt, which have no owners; `draws` are numbers in [0, 1), at least one for each of `owners + others`.
std::vector<std::string> shortlist(std::uint64_t prefix, const std::vector<std::string>& upstreams,
                                   const std::vector<double>& draws, const shortlist_settings& settings);

} // namespace figspoke::policy
