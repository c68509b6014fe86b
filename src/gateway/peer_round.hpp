#pragma once

#include <cstddef>

namespace coriander {

/// Peers that a daemon tells how things are in a round. With more daemons word reaches all through others.
inline constexpr std::size_t peers_per_round = 8;

} // namespace coriander
