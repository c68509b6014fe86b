#pragma once

#include "coriander/membership.hpp"
#include "coriander/shard_choice.hpp"
#include "coriander/time_ms.hpp"
#include "gateway/peer_round.hpp"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace coriander {

/// Whether the daemon `self`, which has had a manifest for `had_for`, sends it to a peer that lacks it.
/// `others` are all other daemons that live. All rank each other alike: first those that reach the table,
/// then the rest, so that in an outage of the table not each takes itself for the only one that can tell.
/// Pure.
[[nodiscard]] inline bool should_send_manifest(const std::string& self, bool reaches_table,
                                               const member_view& peer, std::span<const member_view> others,
                                               time_ms held_for)
{
    constexpr std::size_t initial_senders = 2;
    // A manifest that a peer still lacks after so long has not reached it through the table.
    constexpr time_ms table_delay{1000};
    // Whether the first tellers have reached the peer shows in its beat after some rounds of 0.4 s.
    constexpr time_ms sender_interval{1000};
    // With more daemons than a round tells, word that a peer has the manifest or the table again takes two
    // rounds.
    const time_ms heartbeat_delay = others.size() > peers_per_round ? 800_ms : 0_ms;
    if (held_for < heartbeat_delay || (peer.beat.table_reachable && held_for <= table_delay)) {
        return false;
    }
    std::vector<std::string> same_class;
    std::size_t preceding = 0;
    for (const auto& other : others) {
        if (other.identity.name == peer.identity.name) {
            continue;
        }
        if (other.beat.table_reachable == reaches_table) {
            same_class.push_back(other.identity.name);
        }
        else {
            preceding += other.beat.table_reachable ? 1 : 0;
        }
    }
    const auto senders =
        initial_senders + static_cast<std::size_t>(held_for.count() / sender_interval.count());
    return preceding + shard_rank(peer.identity.name, self, same_class) < senders;
}

} // namespace coriander
