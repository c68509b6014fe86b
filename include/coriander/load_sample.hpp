#pragma once

#include "coriander/time_ms.hpp"

#include <cstdint>

namespace coriander {

/// A replica's load as it reported it, and when. `seen_at` is on the reader's own clock.
struct load_sample {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    time_ms seen_at;
    bool known = false;
};

} // namespace coriander
