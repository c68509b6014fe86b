#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// The rate of requests that a target takes from all daemons together, as it stated in a response.
struct rate_limit {
    std::uint64_t target = 0; ///< Hash of the target's id and generation.
    double per_second = 0.0;  ///< Zero if the target no longer states a limit.
    time_ms age;              ///< Time since the response.
};

/// Whether a request may be sent to a target with a rate limit.
struct permit_decision {
    bool is_granted = false;
    time_ms wait; ///< If not granted: when to ask again.
};

} // namespace coriander
