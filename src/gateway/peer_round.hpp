#pragma once

#include <cstddef>

namespace coriander {

/// Peers that a daemon sends heartbeats to in a round. With more daemons, some learn of it through other
/// peers.
inline constexpr std::size_t peers_per_round = 8;
/// The same in a fleet of more than `large_fleet` gateways, whose messages are as long as they may be: bytes
/// and processor time would take too much of a small one.
inline constexpr std::size_t peers_per_round_in_large_fleet = 5;
inline constexpr std::size_t large_fleet = 128;
/// How many of them are in the own failure domain.
inline constexpr std::size_t near_peers_per_round = 4;

} // namespace coriander
