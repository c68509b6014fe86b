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

/// Whether the daemon `self`, which received a manifest `had_for` ago, sends it to a peer that lacks it.
/// `others` are all other live daemons. All daemons rank the senders in the same way: those that reach the
/// table come first, then the rest, so that during an outage of the table not every daemon sends. Pure
/// function.
[[nodiscard]] inline bool should_send_manifest(const std::string& self, bool reaches_table,
                                               const member_view& peer, std::span<const member_view> others,
                                               time_ms had_for)
{
    constexpr std::size_t initial_senders = 2;
    // A peer that reaches the table is expected to read the manifest there within this time.
    constexpr time_ms table_delay{1000};
    // An additional sender joins at this interval. Whether the earlier ones succeeded shows in the peer's
    // heartbeat after some rounds of 0.4 s.
    constexpr time_ms sender_interval{1000};
    // With more daemons than a round reaches, it takes two rounds to learn that a peer has the manifest or
    // reaches the table again.
    const time_ms heartbeat_delay = others.size() > peers_per_round ? 800_ms : 0_ms;
    if (had_for < heartbeat_delay || (peer.heartbeat.table_reachable && had_for <= table_delay)) {
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
    const auto senders =
        initial_senders + static_cast<std::size_t>(had_for.count() / sender_interval.count());
    return before + shard_rank(peer.identity.name, self, alike) < senders;
}

} // namespace coriander
