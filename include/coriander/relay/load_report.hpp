#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// The load that a target reported in a response, as daemons pass it on to each other.
struct load_report {
    std::uint64_t target = 0;  ///< Hash of the target's id and generation.
    std::uint32_t running = 0; ///< Requests being processed.
    std::uint32_t waiting = 0; ///< Requests in its queue.
    time_ms age;               ///< Time since the target reported it.
};

} // namespace coriander
