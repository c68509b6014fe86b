#pragma once

#include <cstddef>

namespace coriander {

/// Peers that a daemon sends heartbeats to in a round. With more daemons, some learn of it through other
/// peers.
inline constexpr std::size_t peers_per_round = 8;
/// How many of them are in the own failure domain.
inline constexpr std::size_t near_peers_per_round = 5;

} // namespace coriander
