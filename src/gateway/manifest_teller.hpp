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
[[nodiscard]] inline bool should_tell_manifest(const std::string& self, bool reaches_table,
                                               const member_view& peer, std::span<const member_view> others,
                                               time_ms had_for)
{
    constexpr std::size_t first_tellers = 2;
    // A manifest that a peer still lacks after so long has not reached it through the table.
    constexpr time_ms manifest_lag{1000};
    // Whether the first tellers have reached the peer shows in its beat after some rounds of 0.4 s.
    constexpr time_ms next_teller{1000};
    // With more daemons than a round tells, word that a peer has the manifest or the table again takes two
    // rounds.
    const time_ms beat_lag = others.size() > peers_per_round ? 800_ms : 0_ms;
    if (had_for < beat_lag || (peer.heartbeat.table_reachable && had_for <= manifest_lag)) {
        return false;
    }
    std::vector<std::string> alike;
    std::size_t before = 0;
    for (const auto& other : others) {
        if (other.identity.name == peer.identity.name) {
            continue;
        }
        if (other.heartbeat.table_reachable == reaches_table) {
            alike.push_back(other.identity.name);
        }
        else {
            before += other.heartbeat.table_reachable ? 1 : 0;
        }
    }
    const auto tellers = first_tellers + static_cast<std::size_t>(had_for.count() / next_teller.count());
    return before + shard_rank(peer.identity.name, self, alike) < tellers;
}

} // namespace coriander
