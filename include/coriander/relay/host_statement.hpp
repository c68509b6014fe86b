#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// Identifies one incarnation of a host at one address. What a host states about itself holds for that only.
using host_key = std::uint64_t;

/// What a host has stated about itself, as daemons pass it on.
struct host_statement {
    host_key host = 0;
    time_ms pause_left; ///< For how long it wants no requests; zero if it takes some.
    bool is_leaving = false;
};

} // namespace coriander
