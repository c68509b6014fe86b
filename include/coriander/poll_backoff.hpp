#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>

namespace coriander {

/// The delay before the next poll of a store that is unreachable.
///
/// Rejected polls are repeated at growing intervals. A poll that was not answered at all has taken its time
/// already, so that the next one follows at once: the return of the store is then noticed within the time
/// limit of a poll, however long it was away. `failures` counts those in a row before this one; `since_poll`
/// is the time since the failed poll was sent.
[[nodiscard]] constexpr time_ms delay_after_failed_poll(unsigned failures, time_ms since_poll)
{
    constexpr time_ms min_interval = 100_ms;
    constexpr time_ms max_interval = 1000_ms;
    constexpr unsigned max_doublings = 4;
    const auto interval = std::min(max_interval, min_interval * (1LL << std::min(failures, max_doublings)));
    return std::max(0_ms, interval - since_poll);
}

} // namespace coriander
