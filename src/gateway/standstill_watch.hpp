#pragma once

#include "coriander/time_ms.hpp"

#include <algorithm>
#include <optional>

namespace coriander {

/// Notices that this daemon has stood still. Messages that arrived meanwhile are read late, at an unknown
/// age. Not thread-safe.
class standstill_watch {
public:
    /// A longer time without activity is a standstill, and messages are of unknown age for as long after it.
    /// Two rounds of the peers (`gateway_peers::round_length`), since a busy daemon is late.
    static constexpr time_ms longest_gap{800};

    /// Records that the daemon runs at `now`, a time of a monotonic clock. Call it at least once per round of
    /// the peers.
    void on_activity(time_ms now)
    {
        if (this->last_activity && now - *this->last_activity > longest_gap) {
            this->doubtful_until = now + longest_gap;
        }
        this->last_activity = std::max(now, this->last_activity.value_or(now));
    }

    /// Whether a message that is read at `now` may have waited during a standstill.
    [[nodiscard]] bool has_just_resumed(time_ms now) const { return now < this->doubtful_until; }

private:
    std::optional<time_ms> last_activity;
    time_ms doubtful_until;
};

} // namespace coriander
