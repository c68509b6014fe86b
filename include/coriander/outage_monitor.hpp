#pragma once

#include "coriander/time_ms.hpp"

#include <cstddef>
#include <optional>

namespace coriander {

/// Decides when most hosts of a shard may be declared lost at once.
///
/// A controller that stops receiving reports from most hosts may itself be at fault. It therefore releases
/// the shard to another controller, and acts on the loss only when the outage has lasted for `grace`,
/// whichever controller holds the shard. Not thread-safe.
class outage_monitor {
public:
    explicit outage_monitor(time_ms grace) : grace{grace} {}

    /// Updates the state with the number of hosts of the shard that are unreachable and that have reported. A
    /// host can be neither, when this controller has acquired the shard only recently. Such hosts change
    /// nothing: an outage that was detected before continues.
    void update(std::size_t unreachable, std::size_t reporting, std::size_t total, time_ms now)
    {
        const bool is_outage = total > 1 && unreachable * 2 > total;
        if (reporting * 2 >= total) {
            this->since.reset();
        }
        else if (is_outage && !this->since) {
            this->since = now;
        }
    }

    /// Whether an outage is in progress that has not yet lasted for `grace`.
    [[nodiscard]] bool must_wait(time_ms now) const
    {
        return this->since && now - *this->since < this->grace;
    }

    /// Whether the outage was first detected at `now`, which is when another controller should check.
    [[nodiscard]] bool just_started(time_ms now) const { return this->since && *this->since == now; }

private:
    time_ms grace;
    std::optional<time_ms> since;
};

} // namespace coriander
